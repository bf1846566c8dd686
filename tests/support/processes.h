// Programs started by tests: output, exit code, signals, free ports. A program ends with the object that started it.
//
// Sections
//   1. waiting and ports
//   2. child process
#pragma once

#include <arpa/inet.h>
#include <netinet/in.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <array>
#include <atomic>
#include <chrono>
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <functional>
#include <mutex>
#include <optional>
#include <string>
#include <thread>
#include <utility>
#include <vector>

namespace persimmon::support {

using std::chrono::milliseconds;

// ---------------------------------------------------------------------------------------------------------------------
// 1. waiting and ports
// ---------------------------------------------------------------------------------------------------------------------

inline constexpr milliseconds kDefaultWait = milliseconds(20'000);  // a busy VM is slow; a passing test ends earlier

// Returns true as soon as the condition holds.
inline bool WaitUntil(const std::function<bool()>& condition, milliseconds limit = kDefaultWait) {
  const auto deadline = std::chrono::steady_clock::now() + limit;
  while (!condition()) {
    if (std::chrono::steady_clock::now() > deadline) {
      return false;
    }
    std::this_thread::sleep_for(milliseconds(5));
  }
  return true;
}

inline sockaddr_in LoopbackAddress(int port) {
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  address.sin_port = htons(static_cast<std::uint16_t>(port));
  return address;
}

inline bool CanBind(int type, int port) {
  const int handle = socket(AF_INET, type, 0);
  const sockaddr_in address = LoopbackAddress(port);
  const bool bound = bind(handle, reinterpret_cast<const sockaddr*>(&address), sizeof(address)) == 0;
  close(handle);
  return bound;
}

// A loopback port that is free for TCP and UDP. The ports are below the range from which the system takes the ports of
// outgoing connections, and each test process has a range of its own, so that nobody takes the port before its user.
inline int FreePort() {
  constexpr int kFirst = 10'000;
  constexpr int kBlocks = 440;
  constexpr int kBlockSize = 50;
  static std::atomic<int> next{0};
  while (true) {
    const int offset = next++;
    const int block = (getpid() + offset / kBlockSize) % kBlocks;
    const int port = kFirst + block * kBlockSize + offset % kBlockSize;
    if (CanBind(SOCK_STREAM, port) && CanBind(SOCK_DGRAM, port)) {
      return port;
    }
  }
}

inline std::string Loopback(int port) { return "127.0.0.1:" + std::to_string(port); }

inline bool CanConnect(int port) {
  const int handle = socket(AF_INET, SOCK_STREAM, 0);
  const sockaddr_in address = LoopbackAddress(port);
  const bool connected = connect(handle, reinterpret_cast<const sockaddr*>(&address), sizeof(address)) == 0;
  close(handle);
  return connected;
}

// ---------------------------------------------------------------------------------------------------------------------
// 2. child process
// ---------------------------------------------------------------------------------------------------------------------

class child_process {
 public:
  // Starts a program of the build's bin folder, or any program by its whole path.
  explicit child_process(const std::string& program, const std::vector<std::string>& arguments = {}) {
    const std::string path = program.find('/') == std::string::npos ? PERSIMMON_BIN_DIR "/" + program : program;
    std::vector<char*> words = {const_cast<char*>(path.c_str())};
    for (const std::string& argument : arguments) {
      words.push_back(const_cast<char*>(argument.c_str()));
    }
    words.push_back(nullptr);
    std::array<int, 2> out{};
    std::array<int, 2> err{};
    if (pipe(out.data()) != 0 || pipe(err.data()) != 0) {
      std::perror("pipe");
      std::abort();
    }
    pid_ = fork();
    if (pid_ == 0) {
      prctl(PR_SET_PDEATHSIG, SIGKILL);  // a test that crashes leaves no process behind
      dup2(out[1], STDOUT_FILENO);
      dup2(err[1], STDERR_FILENO);
      for (const int handle : {out[0], out[1], err[0], err[1]}) {
        close(handle);
      }
      execv(path.c_str(), words.data());
      _exit(127);
    }
    close(out[1]);
    close(err[1]);
    out_reader_ = std::thread([this, handle = out[0]] { Collect(handle, out_); });
    err_reader_ = std::thread([this, handle = err[0]] { Collect(handle, err_); });
  }

  child_process(const child_process&) = delete;
  child_process& operator=(const child_process&) = delete;

  ~child_process() {
    if (IsRunning()) {
      kill(pid_, SIGCONT);
      kill(pid_, SIGKILL);
      WaitForExit();
    }
    out_reader_.join();
    err_reader_.join();
  }

  int Pid() const { return pid_; }

  void Signal(int number) const {
    if (!exit_code_) {
      kill(pid_, number);
    }
  }

  bool IsRunning() {
    if (!exit_code_) {
      int status = 0;
      if (waitpid(pid_, &status, WNOHANG) == pid_) {
        exit_code_ = ToExitCode(status);
      }
    }
    return !exit_code_;
  }

  // The exit code, 128 + N after signal N, or nothing if the program still runs at the end of the wait.
  std::optional<int> WaitForExit(milliseconds limit = kDefaultWait) {
    WaitUntil([this] { return !IsRunning(); }, limit);
    return exit_code_;
  }

  // Waits until the program accepts connections. False if it ends first or the wait is over.
  bool WaitForPort(int port, milliseconds limit = kDefaultWait) {
    bool connected = false;
    WaitUntil([&] { return (connected = CanConnect(port)) || !IsRunning(); }, limit);
    return connected;
  }

  // Waits until standard output or standard error contains the text.
  bool WaitForText(const std::string& text, milliseconds limit = kDefaultWait) {
    const auto has_text = [&] {
      return Out().find(text) != std::string::npos || Err().find(text) != std::string::npos;
    };
    WaitUntil([&] { return has_text() || !IsRunning(); }, limit);
    return has_text();
  }

  // Output so far. Whole once the program has ended and JoinOutput was called.
  std::string Out() const { return Copy(out_); }
  std::string Err() const { return Copy(err_); }

  // Waits until both pipes are closed. Only after the program has ended.
  void JoinOutput() {
    WaitUntil([this] { return closed_pipes_ == 2; });
  }

 private:
  static int ToExitCode(int status) {
    constexpr int kSignalBase = 128;
    return WIFEXITED(status) ? WEXITSTATUS(status) : kSignalBase + WTERMSIG(status);
  }

  void Collect(int handle, std::string& target) {
    std::array<char, 4096> buffer{};
    for (ssize_t count = 0; (count = read(handle, buffer.data(), buffer.size())) > 0;) {
      const std::lock_guard lock(mutex_);
      target.append(buffer.data(), static_cast<std::size_t>(count));
    }
    close(handle);
    ++closed_pipes_;
  }

  std::string Copy(const std::string& source) const {
    const std::lock_guard lock(mutex_);
    return source;
  }

  pid_t pid_ = 0;
  std::optional<int> exit_code_;
  mutable std::mutex mutex_;
  std::string out_;
  std::string err_;
  std::atomic<int> closed_pipes_{0};
  std::thread out_reader_;
  std::thread err_reader_;
};

struct program_result {
  int exit_code = -1;  // -1: still running at the end of the wait, and then killed
  std::string out;
  std::string err;
};

// Waits for a started program and returns what it has written.
inline program_result FinishProgram(child_process& child, milliseconds limit = kDefaultWait) {
  const auto code = child.WaitForExit(limit);
  if (!code) {
    return {-1, child.Out(), child.Err()};
  }
  child.JoinOutput();
  return {*code, child.Out(), child.Err()};
}

// Runs a program to its end.
inline program_result RunProgram(const std::string& program, const std::vector<std::string>& arguments,
                                 milliseconds limit = kDefaultWait) {
  child_process child(program, arguments);
  return FinishProgram(child, limit);
}

}  // namespace persimmon::support

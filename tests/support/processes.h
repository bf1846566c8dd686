// Child processes for tests: output, exit codes, signals and free ports. Destroying a child_process kills its program.
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

// Long enough for a slow, busy VM. A passing test does not wait this long.
inline constexpr milliseconds kDefaultTimeout = milliseconds(20'000);

// Polls until the condition holds. Returns false on timeout.
inline bool WaitUntil(const std::function<bool()>& condition, milliseconds timeout = kDefaultTimeout) {
  const auto deadline = std::chrono::steady_clock::now() + timeout;
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
  const int fd = socket(AF_INET, type, 0);
  const sockaddr_in address = LoopbackAddress(port);
  const bool is_bound = bind(fd, reinterpret_cast<const sockaddr*>(&address), sizeof(address)) == 0;
  close(fd);
  return is_bound;
}

// Returns a loopback port that is free for TCP and UDP. The ports are below the range of ephemeral ports that the OS
// assigns to outgoing connections, and each test process starts in a block of its own, so that the port is unlikely to
// be taken before the program under test binds it.
inline int FreePort() {
  constexpr int kFirstPort = 10'000;
  constexpr int kBlockCount = 440;
  constexpr int kBlockSize = 50;
  static std::atomic<int> next{0};
  while (true) {
    const int offset = next++;
    const int block = (getpid() + offset / kBlockSize) % kBlockCount;
    const int port = kFirstPort + block * kBlockSize + offset % kBlockSize;
    if (CanBind(SOCK_STREAM, port) && CanBind(SOCK_DGRAM, port)) {
      return port;
    }
  }
}

inline std::string LoopbackHostPort(int port) { return "127.0.0.1:" + std::to_string(port); }

inline bool CanConnect(int port) {
  const int fd = socket(AF_INET, SOCK_STREAM, 0);
  const sockaddr_in address = LoopbackAddress(port);
  const bool is_connected = connect(fd, reinterpret_cast<const sockaddr*>(&address), sizeof(address)) == 0;
  close(fd);
  return is_connected;
}

// ---------------------------------------------------------------------------------------------------------------------
// 2. child process
// ---------------------------------------------------------------------------------------------------------------------

class child_process {
 public:
  // Starts a program from the bin folder of the build, or from anywhere if the name is a path.
  explicit child_process(const std::string& program, const std::vector<std::string>& arguments = {}) {
    const std::string path = program.find('/') == std::string::npos ? PERSIMMON_BIN_DIR "/" + program : program;
    std::vector<char*> argv = {const_cast<char*>(path.c_str())};
    for (const std::string& argument : arguments) {
      argv.push_back(const_cast<char*>(argument.c_str()));
    }
    argv.push_back(nullptr);
    std::array<int, 2> out{};
    std::array<int, 2> err{};
    if (pipe(out.data()) != 0 || pipe(err.data()) != 0) {
      std::perror("pipe");
      std::abort();
    }
    pid_ = fork();
    if (pid_ == 0) {
      prctl(PR_SET_PDEATHSIG, SIGKILL);  // the child is killed if the test process dies
      dup2(out[1], STDOUT_FILENO);
      dup2(err[1], STDERR_FILENO);
      for (const int fd : {out[0], out[1], err[0], err[1]}) {
        close(fd);
      }
      execv(path.c_str(), argv.data());
      _exit(127);
    }
    close(out[1]);
    close(err[1]);
    out_reader_ = std::thread([this, fd = out[0]] { ReadPipe(fd, out_); });
    err_reader_ = std::thread([this, fd = err[0]] { ReadPipe(fd, err_); });
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

  void Signal(int signal_number) const {
    if (!exit_code_) {
      kill(pid_, signal_number);
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

  // Returns the exit code, 128 + N after signal N, or nullopt if the program is still running at the timeout.
  std::optional<int> WaitForExit(milliseconds timeout = kDefaultTimeout) {
    WaitUntil([this] { return !IsRunning(); }, timeout);
    return exit_code_;
  }

  // Waits until the program accepts connections. Returns false if it exits first or on timeout.
  bool WaitForPort(int port, milliseconds timeout = kDefaultTimeout) {
    bool is_connected = false;
    WaitUntil([&] { return (is_connected = CanConnect(port)) || !IsRunning(); }, timeout);
    return is_connected;
  }

  // Waits until standard output or standard error contains the text. Returns false if the program exits without it, or
  // on timeout.
  bool WaitForText(const std::string& text, milliseconds timeout = kDefaultTimeout) {
    const auto has_text = [&] {
      return Out().find(text) != std::string::npos || Err().find(text) != std::string::npos;
    };
    WaitUntil([&] { return has_text() || !IsRunning(); }, timeout);
    return has_text();
  }

  // Output so far. Complete once the program has exited and WaitForOutputEnd has returned.
  std::string Out() const { return Copy(out_); }
  std::string Err() const { return Copy(err_); }

  // Waits until both pipes are closed. Call it only after the program has exited.
  void WaitForOutputEnd() {
    WaitUntil([this] { return closed_pipes_ == 2; });
  }

 private:
  static int ToExitCode(int status) {
    constexpr int kSignalBase = 128;
    return WIFEXITED(status) ? WEXITSTATUS(status) : kSignalBase + WTERMSIG(status);
  }

  void ReadPipe(int fd, std::string& target) {
    std::array<char, 4096> buffer{};
    for (ssize_t count = 0; (count = read(fd, buffer.data(), buffer.size())) > 0;) {
      const std::lock_guard lock(mutex_);
      target.append(buffer.data(), static_cast<std::size_t>(count));
    }
    close(fd);
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
  int exit_code = -1;  // -1: still running at the timeout
  std::string out;
  std::string err;
};

// Waits until a started program exits, and returns its exit code and output.
inline program_result WaitForProgram(child_process& child, milliseconds timeout = kDefaultTimeout) {
  const auto code = child.WaitForExit(timeout);
  if (!code) {
    return {-1, child.Out(), child.Err()};
  }
  child.WaitForOutputEnd();
  return {*code, child.Out(), child.Err()};
}

// Runs a program until it exits; kills it on timeout.
inline program_result RunProgram(const std::string& program, const std::vector<std::string>& arguments,
                                 milliseconds timeout = kDefaultTimeout) {
  child_process child(program, arguments);
  return WaitForProgram(child, timeout);
}

}  // namespace persimmon::support

# Entry points for developers and CI; CMake does the build. BUILD is the build folder, JOBS the number of compile jobs.
BUILD ?= build
JOBS  ?= $(shell nproc)

.PHONY: all deps build test test-sanitize demo bench format check-format lint clean

all: build

deps:
	@bash scripts/install-packages.sh

$(BUILD)/build.ninja: | deps
	@cmake -S . -B $(BUILD) -G Ninja $(CMAKE_FLAGS) >/dev/null

build: deps $(BUILD)/build.ninja
	@cmake --build $(BUILD) -j $(JOBS)

test: build
	@bash scripts/run-tests.sh $(BUILD)

test-sanitize:
	@$(MAKE) --no-print-directory build BUILD=build-sanitize CMAKE_FLAGS="-DPERSIMMON_SANITIZE=ON -DCMAKE_BUILD_TYPE=Debug"
	@bash scripts/run-tests.sh build-sanitize -L sanitize

demo: build
	@bash scripts/demo.sh $(BUILD)

bench: build
	@python3 bench/run.py --build $(BUILD)

format:
	@git ls-files '*.h' '*.cpp' | xargs clang-format -i

check-format: deps
	@git ls-files '*.h' '*.cpp' | xargs -r clang-format --dry-run -Werror

lint: deps $(BUILD)/build.ninja
	@bash scripts/lint.sh $(BUILD)

clean:
	@rm -rf $(BUILD) build-sanitize

BUILD ?= build
JOBS ?= $(shell nproc)

.PHONY: all packages build format format-check lint test sanitize demo bench clean

all: build

packages:
	@scripts/install_packages.sh

build: packages
	@cmake -S . -B $(BUILD) -G Ninja > /dev/null
	@cmake --build $(BUILD) -j $(JOBS)

format: packages
	@git ls-files '*.h' '*.cc' | xargs clang-format -i

format-check: packages
	@git ls-files '*.h' '*.cc' | xargs clang-format --dry-run -Werror

lint: build
	@scripts/lint.sh $(BUILD) $(JOBS)

test: format-check build lint
	@scripts/sanitize.sh $(BUILD) $(JOBS)
	@scripts/test.sh $(BUILD) $(JOBS)

sanitize: packages
	@scripts/sanitize.sh $(BUILD) $(JOBS)

demo: build
	@scripts/demo.sh $(BUILD)

bench: build
	@scripts/bench.sh $(BUILD)

clean:
	@rm -rf $(BUILD) $(BUILD)-asan $(BUILD)-tsan

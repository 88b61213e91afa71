# SPDX-License-Identifier: Apache-2.0
# A wrapper of CMake; the logic is in src/cmake and src/build-scripts.

BUILD_DIR ?= build
BUILD_TYPE ?= RelWithDebInfo
SCRIPTS := src/build-scripts

.PHONY: all packages build test demo bench capacity soak clang-format check-format check-lint generate clean

all: build

packages:
	bash $(SCRIPTS)/install-packages.sh

build: packages
	cmake -S . -B $(BUILD_DIR) -G Ninja -DCMAKE_BUILD_TYPE=$(BUILD_TYPE) > /dev/null
	cmake --build $(BUILD_DIR)

test: build
	bash $(SCRIPTS)/run-tests.sh $(BUILD_DIR)

demo: build
	bash $(SCRIPTS)/demo.sh $(BUILD_DIR)

bench: build
	bash $(SCRIPTS)/bench.sh $(BUILD_DIR)

capacity: build
	bash $(SCRIPTS)/capacity.sh $(BUILD_DIR)

SEEDS ?= 10
soak: build
	bash $(SCRIPTS)/soak.sh $(BUILD_DIR) $(SEEDS)

clang-format: packages
	bash $(SCRIPTS)/check-format.sh fix

check-format: packages
	bash $(SCRIPTS)/check-format.sh

check-lint: build
	bash $(SCRIPTS)/check-lint.sh $(BUILD_DIR)

generate: packages
	bash $(SCRIPTS)/generate.sh

clean:
	rm -rf $(BUILD_DIR)

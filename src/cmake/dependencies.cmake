# SPDX-License-Identifier: Apache-2.0
# Libraries, all from Debian packages. cpp-httplib's flags must come from
# pkg-config: its class layouts depend on them.
find_package(Threads REQUIRED)
find_package(PkgConfig REQUIRED)
pkg_check_modules(LOG4CPLUS REQUIRED IMPORTED_TARGET log4cplus)
pkg_check_modules(YAMLCPP REQUIRED IMPORTED_TARGET yaml-cpp)
pkg_check_modules(SODIUM REQUIRED IMPORTED_TARGET libsodium)
if(NOT DOORWOOD_ONLY_ENTRY)
  find_package(Boost REQUIRED COMPONENTS unit_test_framework)
  pkg_check_modules(HTTPLIB REQUIRED IMPORTED_TARGET cpp-httplib)
  pkg_check_modules(CAPNP REQUIRED IMPORTED_TARGET capnp-rpc)
  pkg_check_modules(XXHASH REQUIRED IMPORTED_TARGET libxxhash)
  pkg_check_modules(PROMETHEUS REQUIRED IMPORTED_TARGET prometheus-cpp-core)
endif()

# SPDX-License-Identifier: Apache-2.0
# Language level and warnings for every target.
set(CMAKE_CXX_STANDARD 20)
set(CMAKE_CXX_STANDARD_REQUIRED ON)
set(CMAKE_CXX_EXTENSIONS OFF)
set(CMAKE_EXPORT_COMPILE_COMMANDS ON)
add_compile_options(-Wall -Wextra -Wno-missing-field-initializers -Wno-maybe-uninitialized)
add_compile_definitions(ASIO_STANDALONE ASIO_NO_DEPRECATED)

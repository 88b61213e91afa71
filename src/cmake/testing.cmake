# SPDX-License-Identifier: Apache-2.0

# doorwood_test(NAME SOURCES...) adds one Boost.Test program that uses the
# library and the fakes.
function(doorwood_test name)
  add_executable(${name} ${ARGN})
  target_compile_definitions(${name} PRIVATE BOOST_TEST_DYN_LINK
                                             BOOST_TEST_MODULE=${name})
  target_link_libraries(${name} PRIVATE doorwood_fakes
                                        Boost::unit_test_framework)
  add_test(NAME ${name} COMMAND ${name})
endfunction()

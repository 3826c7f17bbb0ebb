# Helpers that every package's CMakeLists.txt uses, so that flags stand once.

add_library(sassafras_flags INTERFACE)
target_compile_options(sassafras_flags INTERFACE
  -Wall -Wextra -Wpedantic -Werror -Wshadow -Wnon-virtual-dtor
  -Wno-missing-field-initializers
  # GCC 12 at -O3 reports std::string's own copying (GCC bug 105651).
  $<$<CONFIG:Release>:-Wno-restrict>)

# sassafras_library(NAME SOURCES a.cc ... DEPS other ...)
# A static library with public headers in include/ and private ones in src/.
function(sassafras_library name)
  cmake_parse_arguments(ARG "" "" "SOURCES;DEPS" ${ARGN})
  add_library(${name} STATIC ${ARG_SOURCES})
  target_include_directories(${name}
    PUBLIC ${CMAKE_CURRENT_SOURCE_DIR}/include
    PRIVATE ${CMAKE_CURRENT_SOURCE_DIR}/src)
  target_link_libraries(${name} PUBLIC ${ARG_DEPS} PRIVATE sassafras_flags)
endfunction()

# sassafras_test(NAME SOURCES a_test.cc ... DEPS lib ...)
# A GoogleTest binary, run by ctest as one test with a fixed RapidCheck seed.
function(sassafras_test name)
  if(SASSAFRAS_DEPLOY)
    return()
  endif()
  cmake_parse_arguments(ARG "" "TIMEOUT" "SOURCES;DEPS" ${ARGN})
  if(NOT ARG_TIMEOUT)
    set(ARG_TIMEOUT 300)
  endif()
  add_executable(${name} ${ARG_SOURCES})
  target_link_libraries(${name} PRIVATE ${ARG_DEPS} sassafras_flags
    GTest::gtest GTest::gtest_main rapidcheck rapidcheck_gtest)
  add_test(NAME ${name} COMMAND ${name})
  set_tests_properties(${name} PROPERTIES
    ENVIRONMENT "RC_PARAMS=seed=20261203" TIMEOUT ${ARG_TIMEOUT})
endfunction()

# sassafras_benchmark(NAME SOURCES a.cc ... DEPS lib ...)
function(sassafras_benchmark name)
  cmake_parse_arguments(ARG "" "" "SOURCES;DEPS" ${ARGN})
  add_executable(${name} ${ARG_SOURCES})
  target_link_libraries(${name} PRIVATE ${ARG_DEPS} sassafras_flags
    benchmark::benchmark)
endfunction()

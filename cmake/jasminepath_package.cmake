# Declares one package of the workspace.
#
#   jasminepath_package(NAME base DEPENDS ... LIBRARIES ...)
#
# Builds the sources src/**/*.cc into a static library; its public headers are
# include/jasminepath/NAME/**/*.h. Builds tests/**/*.cc into one Boost.Test program, NAME_test, and
# registers it with CTest. DEPENDS lists packages. LIBRARIES lists targets of external libraries that
# only the sources and tests use, TEST_LIBRARIES those that only the tests use. Test cases that
# KNOWN-RED.txt lists as "test: NAME_test/CASE" are left out.
function(jasminepath_warnings target)
  target_compile_options(${target} PRIVATE -Wall -Wextra -Wpedantic -Wshadow -Wnon-virtual-dtor
                         -Werror)
  if(CMAKE_CXX_COMPILER_ID STREQUAL "GNU")
    # GCC 12 gives false positives for these warnings in library templates.
    target_compile_options(${target} PRIVATE -Wno-maybe-uninitialized -Wno-restrict
                           -Wno-dangling-pointer -Wno-stringop-overflow -Wno-array-bounds
                           -Wno-free-nonheap-object -Wno-stringop-overread -Wno-use-after-free)
  endif()
  if(JASMINEPATH_SANITIZE)
    target_compile_options(${target} PRIVATE -fsanitize=${JASMINEPATH_SANITIZE}
                           -fno-omit-frame-pointer)
    target_link_options(${target} PUBLIC -fsanitize=${JASMINEPATH_SANITIZE})
  endif()
endfunction()

# A changed list of known failing tests has to be configured anew.
set_property(DIRECTORY ${CMAKE_SOURCE_DIR} APPEND PROPERTY CMAKE_CONFIGURE_DEPENDS
             ${CMAKE_SOURCE_DIR}/KNOWN-RED.txt)

function(jasminepath_package)
  cmake_parse_arguments(ARG "" "NAME" "DEPENDS;LIBRARIES;TEST_LIBRARIES" ${ARGN})
  set(library jasminepath_${ARG_NAME})
  file(GLOB_RECURSE sources CONFIGURE_DEPENDS ${CMAKE_CURRENT_SOURCE_DIR}/src/*.cc)
  if(NOT sources)
    message(STATUS "package ${ARG_NAME}: no sources, skipped")
    return()
  endif()
  add_library(${library} STATIC ${sources})
  target_include_directories(${library} PUBLIC ${CMAKE_CURRENT_SOURCE_DIR}/include
                             PRIVATE ${CMAKE_CURRENT_SOURCE_DIR}/src)
  target_link_libraries(${library} PUBLIC Threads::Threads PRIVATE ${ARG_LIBRARIES})
  foreach(dependency IN LISTS ARG_DEPENDS)
    target_link_libraries(${library} PUBLIC jasminepath_${dependency})
  endforeach()
  jasminepath_warnings(${library})

  file(GLOB_RECURSE tests CONFIGURE_DEPENDS ${CMAKE_CURRENT_SOURCE_DIR}/tests/*.cc)
  if(tests AND JASMINEPATH_TESTS)
    # main() is in a generated file, so that any number of test files can be linked together.
    set(test_main ${CMAKE_CURRENT_BINARY_DIR}/test_main.cc)
    file(CONFIGURE OUTPUT ${test_main} CONTENT
         "#define BOOST_TEST_MODULE ${ARG_NAME}\n#include <boost/test/unit_test.hpp>\n" @ONLY)
    add_executable(${ARG_NAME}_test ${tests} ${test_main})
    target_include_directories(${ARG_NAME}_test PRIVATE ${CMAKE_CURRENT_SOURCE_DIR}/src
                               ${CMAKE_CURRENT_SOURCE_DIR}/tests)
    target_compile_definitions(${ARG_NAME}_test PRIVATE BOOST_TEST_DYN_LINK
                               JASMINEPATH_SOURCE_DIR="${CMAKE_SOURCE_DIR}")
    target_link_libraries(${ARG_NAME}_test PRIVATE ${library} Boost::unit_test_framework
                          rapidcheck ${ARG_LIBRARIES} ${ARG_TEST_LIBRARIES})
    jasminepath_warnings(${ARG_NAME}_test)
    # scripts/ci_known_red.sh runs the cases that are excluded here.
    file(STRINGS ${CMAKE_SOURCE_DIR}/KNOWN-RED.txt known_red REGEX "^test: ${ARG_NAME}_test/")
    list(TRANSFORM known_red REPLACE "^test: ${ARG_NAME}_test/" "--run_test=!")
    add_test(NAME ${ARG_NAME}_test COMMAND ${ARG_NAME}_test ${known_red})
    set_tests_properties(${ARG_NAME}_test PROPERTIES ENVIRONMENT
                         "RC_PARAMS=seed=20261204" TIMEOUT 600)
  endif()
endfunction()

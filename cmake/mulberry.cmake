# Compile options shared by every target of the project.
add_library(mulberry_options INTERFACE)
target_compile_options(mulberry_options INTERFACE -Wall -Wextra -Wpedantic -Wshadow -Wconversion -Werror)
# At -O3 GCC 12 reports members of Boost.LEAF results as uninitialized that the result's own state guards.
target_compile_options(mulberry_options INTERFACE
                       $<$<AND:$<CONFIG:Release>,$<CXX_COMPILER_ID:GNU>>:-Wno-error=maybe-uninitialized>)
target_include_directories(mulberry_options INTERFACE ${PROJECT_SOURCE_DIR}/src)

# prometheus-cpp comes as headers unpacked by scripts/installpackages and the run-time library of Debian.
add_library(mulberry_prometheus INTERFACE)
target_include_directories(mulberry_prometheus SYSTEM INTERFACE
                           ${PROJECT_SOURCE_DIR}/.deps/prometheus/usr/include)
target_link_libraries(mulberry_prometheus INTERFACE -l:libprometheus-cpp-core.so.1.0)

# mulberry_library(NAME SOURCES... [LINK libraries...]): a static library below src/libs or src/plugins.
function(mulberry_library name)
  cmake_parse_arguments(ARG "" "" "SOURCES;LINK" ${ARGN})
  add_library(${name} STATIC ${ARG_SOURCES})
  target_link_libraries(${name} PUBLIC mulberry_options ${ARG_LINK})
endfunction()

# mulberry_messages(NAME FILES.pb.cc...): committed Protobuf code, compiled without the project's warnings.
function(mulberry_messages name)
  add_library(${name} STATIC ${ARGN})
  target_compile_options(${name} PRIVATE -w)
  target_include_directories(${name} PRIVATE ${PROJECT_SOURCE_DIR}/src)
  target_link_libraries(${name} PUBLIC PkgConfig::protobuf_lite)
endfunction()

# mulberry_test(NAME SOURCES... [LINK libraries...]): a Boost.Test program run by ctest.
function(mulberry_test name)
  cmake_parse_arguments(ARG "" "" "SOURCES;LINK" ${ARGN})
  add_executable(${name} ${ARG_SOURCES})
  target_compile_definitions(${name} PRIVATE BOOST_TEST_DYN_LINK BOOST_TEST_MODULE=${name})
  target_include_directories(${name} PRIVATE ${PROJECT_SOURCE_DIR}/tests)
  target_link_libraries(${name} PRIVATE mulberry_options Boost::unit_test_framework ${ARG_LINK})
  add_test(NAME ${name} COMMAND ${name} --log_level=test_suite --color_output=no)
  set_tests_properties(${name} PROPERTIES TIMEOUT 600)
endfunction()

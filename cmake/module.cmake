# monsoonshelf_module(NAME <name> SOURCES <file>... LINKS <target>... TESTS <file>...
#                     TEST_LINKS <target>...)
# Defines the static library <name>_module and, if TESTS are given, the CppUnit program
# <name>_tests. TEST_LINKS are linked to the test program only.
function(monsoonshelf_module)
  cmake_parse_arguments(ARG "" "NAME" "SOURCES;LINKS;TESTS;TEST_LINKS" ${ARGN})
  add_library(${ARG_NAME}_module STATIC ${ARG_SOURCES})
  set_target_properties(${ARG_NAME}_module PROPERTIES POSITION_INDEPENDENT_CODE ON)
  target_include_directories(${ARG_NAME}_module PUBLIC ${CMAKE_SOURCE_DIR}/src)
  target_link_libraries(${ARG_NAME}_module PUBLIC ${ARG_LINKS})
  if(ARG_TESTS AND MONSOONSHELF_TESTS)
    monsoonshelf_test(NAME ${ARG_NAME} SOURCES ${ARG_TESTS}
                      LINKS ${ARG_NAME}_module ${ARG_TEST_LINKS})
  endif()
endfunction()

# monsoonshelf_test(NAME <name> SOURCES <file>... LINKS <target>...)
# Defines the CppUnit program <name>_tests and the CTest test <name>.
function(monsoonshelf_test)
  cmake_parse_arguments(ARG "" "NAME" "SOURCES;LINKS" ${ARGN})
  add_executable(${ARG_NAME}_tests ${ARG_SOURCES} ${CMAKE_SOURCE_DIR}/tests/cppunit_main.cc)
  target_include_directories(${ARG_NAME}_tests PRIVATE ${CMAKE_SOURCE_DIR})
  target_compile_definitions(${ARG_NAME}_tests PRIVATE SOURCE_DIR="${CMAKE_SOURCE_DIR}")
  target_link_libraries(${ARG_NAME}_tests PRIVATE ${ARG_LINKS} PkgConfig::CPPUNIT rapidcheck)
  add_test(NAME ${ARG_NAME} COMMAND ${ARG_NAME}_tests)
  set_tests_properties(${ARG_NAME} PROPERTIES TIMEOUT 300)
endfunction()

# monsoonshelf_embed_text(<target> <namespace> <variable> <file>)
# Generates the header embedded/<name>.h, which defines the text of <file> as a string constant.
# <name> is the variable in snake case without the k: kTargetChart is in embedded/target_chart.h.
function(monsoonshelf_embed_text target namespace variable file)
  set_property(DIRECTORY APPEND PROPERTY CMAKE_CONFIGURE_DEPENDS ${file})
  file(READ ${file} EMBEDDED_TEXT)
  set(EMBEDDED_NAMESPACE ${namespace})
  set(EMBEDDED_VARIABLE ${variable})
  string(REGEX REPLACE "^k" "" header_name ${variable})
  string(REGEX REPLACE "([a-z0-9])([A-Z])" "\\1_\\2" header_name ${header_name})
  string(TOLOWER ${header_name} header_name)
  configure_file(${CMAKE_SOURCE_DIR}/cmake/embedded_text.h.in
                 ${CMAKE_CURRENT_BINARY_DIR}/embedded/${header_name}.h @ONLY)
  target_include_directories(${target} PRIVATE ${CMAKE_CURRENT_BINARY_DIR})
endfunction()

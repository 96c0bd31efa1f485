# Static library of the modules without input and output, for programs that embed the load balancing
# logic, and its install rules.
include(GNUInstallDirs)

set(library_objects)
foreach(module IN LISTS PURE_MODULES)
  list(APPEND library_objects $<TARGET_OBJECTS:${module}_module>)
endforeach()
add_library(monsoonshelf_library STATIC ${library_objects})
set_target_properties(monsoonshelf_library PROPERTIES OUTPUT_NAME monsoonshelf LINKER_LANGUAGE CXX)
target_include_directories(monsoonshelf_library PUBLIC ${CMAKE_SOURCE_DIR}/src)
target_link_libraries(monsoonshelf_library PUBLIC Boost::headers nlohmann_json::nlohmann_json PkgConfig::XXHASH)

configure_file(${CMAKE_SOURCE_DIR}/cmake/monsoonshelf.pc.in
               ${CMAKE_BINARY_DIR}/monsoonshelf.pc @ONLY)
install(FILES ${CMAKE_BINARY_DIR}/monsoonshelf.pc DESTINATION ${CMAKE_INSTALL_LIBDIR}/pkgconfig)
install(TARGETS monsoonshelf_library ARCHIVE DESTINATION ${CMAKE_INSTALL_LIBDIR})
install(TARGETS monsoonshelf RUNTIME DESTINATION ${CMAKE_INSTALL_BINDIR})
# Installs public headers only; headers in the subfolders `internal` and `tests` are not matched.
foreach(module IN LISTS PURE_MODULES)
  file(GLOB headers ${CMAKE_SOURCE_DIR}/src/${module}/*.h)
  install(FILES ${headers} DESTINATION ${CMAKE_INSTALL_INCLUDEDIR}/monsoonshelf/${module})
endforeach()

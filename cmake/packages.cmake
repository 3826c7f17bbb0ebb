# Libraries from the system's packages; README.md lists the install line.
find_package(Threads REQUIRED)
find_package(Boost 1.81 REQUIRED COMPONENTS program_options)
find_package(OpenSSL REQUIRED)
find_package(mimalloc REQUIRED)
find_package(ZLIB REQUIRED)
if(NOT SASSAFRAS_DEPLOY)
  find_package(GTest REQUIRED)
  find_package(rapidcheck REQUIRED)
  find_package(benchmark REQUIRED)
endif()
find_package(nlohmann_json REQUIRED)
find_package(PkgConfig REQUIRED)
pkg_check_modules(NGHTTP2 REQUIRED IMPORTED_TARGET libnghttp2)
pkg_check_modules(TOMLPLUSPLUS REQUIRED IMPORTED_TARGET tomlplusplus)
pkg_check_modules(EASYLOGGINGPP REQUIRED easyloggingpp)

# easylogging++ is distributed as one header and one source file.
find_path(EASYLOGGINGPP_DIR easylogging++.cc REQUIRED
          HINTS ${EASYLOGGINGPP_INCLUDEDIR})
add_library(easyloggingpp STATIC ${EASYLOGGINGPP_DIR}/easylogging++.cc)
target_include_directories(easyloggingpp SYSTEM PUBLIC ${EASYLOGGINGPP_DIR})
target_compile_definitions(easyloggingpp PUBLIC
  ELPP_THREAD_SAFE ELPP_NO_DEFAULT_LOG_FILE ELPP_DISABLE_DEFAULT_CRASH_HANDLING)

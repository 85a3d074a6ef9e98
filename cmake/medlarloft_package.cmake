# Warnings for the project's own code; generated code is compiled without.
set(MEDLARLOFT_WARNINGS -Wall -Wextra -Wpedantic
    -Wno-missing-field-initializers)  # designated initialisers leave defaults
if(CMAKE_CXX_COMPILER_ID STREQUAL "GNU")
  # GCC 12 reports false positives of the last two inside libstdc++.
  list(APPEND MEDLARLOFT_WARNINGS -Werror -Wshadow=local -Wno-maybe-uninitialized
    -Wno-restrict)
endif()

# Tests of a package that listen on fixed ports must not run side by side; such
# a package sets MEDLARLOFT_TEST_LOCK before.
# medlarloft_package(<name> [dependency ...])
# Declares the library medlarloft::<name> from src/*.cpp with its public header
# under include/medlarloft, and one test program from tests/*_test.cpp.
function(medlarloft_package name)
  file(GLOB sources CONFIGURE_DEPENDS src/*.cpp)
  add_library(medlarloft_${name} STATIC ${sources})
  add_library(medlarloft::${name} ALIAS medlarloft_${name})
  target_include_directories(medlarloft_${name}
    PUBLIC include PRIVATE src)
  target_link_libraries(medlarloft_${name} PUBLIC ${ARGN})
  target_compile_options(medlarloft_${name} PRIVATE ${MEDLARLOFT_WARNINGS})
  if(MEDLARLOFT_TESTS)
    file(GLOB tests CONFIGURE_DEPENDS tests/*_test.cpp)
    if(tests)
      add_executable(medlarloft_${name}_tests ${tests})
      target_include_directories(medlarloft_${name}_tests PRIVATE src)
      target_link_libraries(medlarloft_${name}_tests PRIVATE
        medlarloft::${name} GTest::gtest GTest::gtest_main rapidcheck)
      target_compile_options(medlarloft_${name}_tests
        PRIVATE ${MEDLARLOFT_WARNINGS})
      target_compile_definitions(medlarloft_${name}_tests PRIVATE
        MEDLARLOFT_SOURCE_DIR="${PROJECT_SOURCE_DIR}")
      gtest_discover_tests(medlarloft_${name}_tests
        TEST_PREFIX "${name}/" DISCOVERY_TIMEOUT 60
        PROPERTIES ENVIRONMENT "RC_PARAMS=seed=20261204 max_success=300"
        RESOURCE_LOCK "${MEDLARLOFT_TEST_LOCK}")
    endif()
  endif()
endfunction()

# medlarloft_program(<name> [dependency ...])
# Declares one executable from the folder's *.cpp files.
function(medlarloft_program name)
  file(GLOB sources CONFIGURE_DEPENDS *.cpp)
  add_executable(${name} ${sources})
  target_link_libraries(${name} PRIVATE ${ARGN})
  target_compile_options(${name} PRIVATE ${MEDLARLOFT_WARNINGS})
  set_target_properties(${name} PROPERTIES
    RUNTIME_OUTPUT_DIRECTORY ${PROJECT_BINARY_DIR}/bin)
endfunction()

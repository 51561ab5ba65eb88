set(RWW_WARNINGS -Wall -Wextra -Wpedantic -Wshadow)
if(RWW_STRICT)
    list(APPEND RWW_WARNINGS -Werror)
endif()
set(RWW_SANITIZERS -fsanitize=address,undefined -fno-sanitize-recover=undefined)
# With sanitizers GCC takes the empty boost::optional in Beast's headers for an
# uninitialised one; the plain build keeps this warning an error.
if(RWW_SANITIZE AND RWW_STRICT)
    list(APPEND RWW_WARNINGS -Wno-error=maybe-uninitialized)
endif()

function(rww_flags name)
    target_compile_options(${name} PRIVATE ${RWW_WARNINGS})
    if(RWW_SANITIZE)
        target_compile_options(${name} PRIVATE ${RWW_SANITIZERS})
        target_link_options(${name} PRIVATE ${RWW_SANITIZERS})
    endif()
endfunction()

# A package: one library with its public headers under include/.
function(rww_library name)
    cmake_parse_arguments(ARG "" "" "SOURCES;DEPENDS;PRIVATE_DEPENDS" ${ARGN})
    add_library(${name} STATIC ${ARG_SOURCES})
    rww_flags(${name})
    target_include_directories(${name} PUBLIC
        $<BUILD_INTERFACE:${CMAKE_CURRENT_SOURCE_DIR}/include>
        $<INSTALL_INTERFACE:${CMAKE_INSTALL_INCLUDEDIR}>)
    target_link_libraries(${name} PUBLIC ${ARG_DEPENDS}
                          PRIVATE ${ARG_PRIVATE_DEPENDS})
    target_compile_features(${name} PUBLIC cxx_std_20)
    set_target_properties(${name} PROPERTIES OUTPUT_NAME redwingwind-${name})
    install(TARGETS ${name} EXPORT redwingwind-targets
            ARCHIVE DESTINATION ${CMAKE_INSTALL_LIBDIR} COMPONENT libraries)
    install(DIRECTORY include/ DESTINATION ${CMAKE_INSTALL_INCLUDEDIR}
            COMPONENT libraries)
endfunction()

function(rww_program name)
    cmake_parse_arguments(ARG "" "" "SOURCES;DEPENDS" ${ARGN})
    add_executable(${name} ${ARG_SOURCES})
    rww_flags(${name})
    target_link_libraries(${name} PRIVATE ${ARG_DEPENDS})
endfunction()

function(rww_test name)
    cmake_parse_arguments(ARG "" "" "SOURCES;DEPENDS" ${ARGN})
    if(NOT RWW_TESTS)
        return()
    endif()
    add_executable(${name} ${ARG_SOURCES})
    rww_flags(${name})
    target_compile_definitions(${name} PRIVATE BOOST_TEST_DYN_LINK)
    target_link_libraries(${name} PRIVATE ${ARG_DEPENDS} rapidcheck
                          Boost::unit_test_framework)
    add_test(NAME ${name} COMMAND ${name} --log_level=test_suite)
    set_tests_properties(${name} PROPERTIES TIMEOUT 600
                         ENVIRONMENT "RC_PARAMS=seed=20261204")
endfunction()

# Two Debian packages: the programs with what runs and watches them, and the
# libraries for programs that embed them. "cpack -G DEB" in the build folder.
install(FILES deploy/package/redwingwind-node.service
        DESTINATION lib/systemd/system COMPONENT programs)
install(FILES deploy/package/node.flags.example README.md
              deploy/metrics/alerts.yml deploy/metrics/dashboard.json
        DESTINATION ${CMAKE_INSTALL_DATADIR}/doc/redwingwind
        COMPONENT programs)
install(FILES docs/OPERATORS.md docs/OPERATIONS.md
        DESTINATION ${CMAKE_INSTALL_DATADIR}/doc/redwingwind/docs
        COMPONENT programs)

set(CPACK_PACKAGE_NAME redwingwind)
set(CPACK_PACKAGE_VENDOR "redwingwind maintainers")
set(CPACK_PACKAGE_CONTACT
    "redwingwind maintainers <maintainers@users.noreply.redwingwind.example>")
set(CPACK_PACKAGE_DESCRIPTION_SUMMARY
    "Overload control layer for service call graphs")
set(CPACK_PACKAGING_INSTALL_PREFIX /usr)
set(CPACK_COMPONENTS_ALL programs libraries)
set(CPACK_DEB_COMPONENT_INSTALL ON)
set(CPACK_DEBIAN_FILE_NAME DEB-DEFAULT)
set(CPACK_DEBIAN_PACKAGE_SHLIBDEPS ON)
set(CPACK_STRIP_FILES ON)
set(CPACK_DEBIAN_PROGRAMS_PACKAGE_NAME redwingwind)
set(CPACK_DEBIAN_PROGRAMS_PACKAGE_SECTION net)
set(CPACK_DEBIAN_LIBRARIES_PACKAGE_NAME redwingwind-dev)
set(CPACK_DEBIAN_LIBRARIES_PACKAGE_SECTION libdevel)
# What the packages of scripts/setup bring to programs that embed the libraries.
set(CPACK_DEBIAN_LIBRARIES_PACKAGE_DEPENDS
    "libabsl-dev, libace-dev, libboost-dev, libcereal-dev, \
libcurl4-openssl-dev, liblog4cxx-dev, libssl-dev, libxxhash-dev, \
nlohmann-json3-dev, prometheus-cpp-dev")
set(CPACK_COMPONENT_LIBRARIES_DESCRIPTION
    "The parts of redwingwind that decide, for other programs")
set(CPACK_COMPONENT_PROGRAMS_DESCRIPTION
    "redwingwind-node runs beside each target; redwingwindctl is the operators'")
include(CPack)

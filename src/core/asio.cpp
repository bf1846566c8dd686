// Compiles the sources of Asio once, for all files that set BOOST_ASIO_SEPARATE_COMPILATION.
#include <boost/asio/impl/src.hpp>

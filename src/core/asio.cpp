// Compiles the implementation of Asio once, for all files built with BOOST_ASIO_SEPARATE_COMPILATION.
#include <boost/asio/impl/src.hpp>

// Package messenger carries messages between VMs.
//
// Each VM runs one HTTP/2 server on its peer address. Unary calls use Twirp, and package request/forwarder adds streams
// for forwarded units of work. Both ends send pings, because the network may drop packets without resetting the
// connection: a connection on which nothing arrives is closed within about a second.
package messenger

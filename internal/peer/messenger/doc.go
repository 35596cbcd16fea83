// Package messenger carries messages between VMs.
//
// Each VM runs one HTTP/2 server on its peer address. Twirp carries the unary
// calls, and package request/forwarder adds forwarded units as streams. Both
// ends send pings, so that a connection that went silent is closed within
// about a second; the network may drop packets without a reset.
package messenger

// Package forwarder runs units of work, as defined in package exchanger, on other
// VMs.
//
// Each forwarded unit is one HTTP/2 stream, a POST request to /unit. A request
// header field holds the exchanger.Request as JSON. The request and response
// bodies hold messages of the PostgreSQL protocol, version 3. The response
// trailer holds either the exchanger.Result or the error and its kind. The
// response carries the request ID both in its header and in its trailer, and
// the sender rejects a response whose ID differs from that of its request.
//
// When a stream fails, the sender must know whether the other VM may have run
// part of the unit. The HTTP transport does not read the request body until it
// has a connection and has written the request header. If the body has not been
// read, no message was sent, and the unit may be run on another VM. See
// IsNotProcessed and Rewinder.
//
// In this package, "database client" means the application whose messages are
// forwarded, as opposed to Client, the sending side of the forwarder.
package forwarder

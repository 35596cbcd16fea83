// Package forwarder carries a unit of work to another VM.
//
// A forwarded unit is one HTTP/2 stream, POST /unit. The request header
// carries the exchanger.Request in JSON, both bodies carry protocol 3
// messages, and the trailer carries the Result or the error with its kind.
// The response names the request's ID twice, in the header and in the trailer,
// and an answer with another ID is dropped.
//
// When a stream breaks, the important question is whether the other VM can
// have run anything. The transport reads the request body only after it has a
// connection and has written the header. Before that nothing was sent, and the
// unit may go to another VM; see IsNothingSent and Rewinder.
package forwarder

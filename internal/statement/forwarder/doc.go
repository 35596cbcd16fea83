// Package forwarder lets VMs share the connections of a few gateway VMs to an instance.
//
// An instance accepts fewer connections than there are VMs. Its gateways, which are VMs
// of its data centre if there are any, keep connections to it. Any other VM connects to
// a gateway with the same protocol as to the instance. The gateway executes each statement
// that it receives on one of its own connections, which it holds from a begin to the end of
// the transaction.
package forwarder

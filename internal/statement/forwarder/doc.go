// Package forwarder lets VMs share the links of a few gateways to an instance.
//
// An instance accepts fewer connections than there are VMs. Its gateways, VMs of
// its data centre where there are any, keep the links. Another VM connects to a
// gateway as if it were the instance: the connection looks like a link, and the
// gateway runs each statement that arrives on it on one of its own links, held
// from a begin to the end of the transaction.
package forwarder

// Package listener implements the client side of the proxy: it accepts client
// connections and speaks version 3 of the PostgreSQL protocol (startup, password,
// simple and extended queries, transactions and cancel requests).
//
// Settings, metrics and log events call a client a "caller".
//
// One goroutine serves each client session. The session divides the client's
// messages into units of work: one simple query, one extended-query batch up to
// Sync, or a whole transaction. An exchanger.Runner executes each unit and
// exchanges messages with the client through an exchanger.Stream.
//
// Clients share backend connections, so no session state may remain on a
// backend connection after a transaction:
//
//   - Named prepared statements are kept in the session. A batch sends Parse for
//     the unnamed statement before Bind or Describe.
//   - SET, SHOW and RESET of parsleyscale parameters are answered by the listener.
//   - SET of any other parameter is accepted without effect if the value agrees
//     with the backend's own and clients commonly send it at startup, for example
//     application_name, extra_float_digits or client_encoding UTF8. All other names
//     and values are refused with kind unsupported. SET LOCAL and SET TRANSACTION
//     are forwarded, except in read-only transactions.
//   - Statements that leave state on a connection (LISTEN, PREPARE, temporary
//     tables, cursors WITH HOLD) are refused, as are COPY, function call
//     messages and replication connections.
package listener

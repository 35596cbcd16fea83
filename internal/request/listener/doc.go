// Package listener is the side of a VM that faces callers.
//
// It speaks PostgreSQL protocol 3: start-up, password, simple and extended
// queries, transactions and cancel. One goroutine serves a caller. Work is cut
// into units, and each unit goes to a Runner with a Stream.
//
// Backend connections are shared between callers, so a caller's state never
// reaches one outside of a transaction:
//
//   - Named prepared statements are kept here. A batch sends Parse for the
//     unnamed statement before Bind or Describe.
//   - SET, SHOW and RESET of parsleyscale parameters are answered here.
//   - SET of other parameters is accepted and has no effect for the values
//     that clients commonly send at start-up and that agree with the backend's
//     own, such as application_name, extra_float_digits or client_encoding
//     UTF8. All other values and names are refused with kind unsupported.
//     SET LOCAL and SET TRANSACTION are forwarded in a transaction.
//   - Statements that leave state on a connection (LISTEN, PREPARE, temporary
//     tables, cursors WITH HOLD) are refused, and so are COPY, function call
//     messages and replication connections.
package listener

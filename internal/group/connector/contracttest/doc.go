// Package contracttest checks that a group of instances keeps the contract of connector.Instance.
//
// The checks use the interface through connector.Client and rows through
// PostgreSQL connections, so any implementation that listens on an address can
// be tested. Acknowledged writes, session floors and failover rest on what is checked here.
package contracttest

// Package contracttest checks that a group of instances fulfils the contract of connector.Instance.
//
// The checks call the instances through connector.Client and read and write
// rows over PostgreSQL connections, so they can test any implementation that
// listens on a network address. The durability of acknowledged writes, the
// lowest log positions at which sessions may read, and failover rely on the
// behaviour checked here.
package contracttest

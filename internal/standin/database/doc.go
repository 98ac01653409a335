// Package database is a stand-in for a replicated PostgreSQL server.
//
// A server speaks the PostgreSQL protocol (simple and extended, text format) and keeps one SQLite file per organisation
// in a temporary directory. Its durable state is a log of committed transactions and a file with the promised term; the
// SQLite files are rebuilt from the log at start. The primary of a group streams its log to the other servers.
//
// # Usage
//
//	server, err := database.Start(ctx, database.Config{
//		Name: "meals-1-a", Address: "127.0.0.1:5432", ReplicationAddress: "127.0.0.1:6432", Directory: dir,
//		Peers:          []database.Peer{{Name: "meals-1-b", Address: "127.0.0.1:6433"}},
//		InitialPrimary: true,
//	})
//	if err != nil {
//		return err
//	}
//	defer server.Stop()
//
// # Limits
//
// Replication is by statement, so statements must be deterministic. Parameters are bound as text. A statement outside
// BEGIN and COMMIT commits by itself, also within a pipeline. A read inside a transaction sees committed state until the
// transaction's first write, and its own writes after that. Log writes survive the loss of the process; Config.Sync also
// flushes them to the disk.
package database

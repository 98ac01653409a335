package configuration

// Field describes one value of the document.
type Field struct {
	Name    string // name in the document, in snake case
	Unit    string
	Default int64
	Minimum int64
	Maximum int64
	Help    string
	of      func(*Override) **int64
}

// Fields returns the values that defaults and exceptions may set, with their built-in defaults and ranges.
func Fields() []Field { return append([]Field(nil), fields...) }

var fields = []Field{
	{"rate_per_second", "requests/s", 200, 1, 1_000_000, "rate over all instances together", func(o *Override) **int64 { return &o.RatePerSecond }},
	{"burst", "requests", 400, 1, 2_000_000, "requests above the rate that a pause earns; at least 1 + rate_per_second/5", func(o *Override) **int64 { return &o.Burst }},
	{"weight", "shares", 1, 1, 100, "share in the fair queue relative to other organisations", func(o *Override) **int64 { return &o.Weight }},
	{"max_statement_bytes", "bytes", 65_536, 1, 65_536, "size of one statement", func(o *Override) **int64 { return &o.MaxStatementBytes }},
	{"max_answer_bytes", "bytes", 4 << 20, 1024, 64 << 20, "size of one answer", func(o *Override) **int64 { return &o.MaxAnswerBytes }},
	{"default_deadline_ms", "ms", 10_000, 10, 60_000, "deadline of a request that names none", func(o *Override) **int64 { return &o.DefaultDeadlineMS }},
	{"max_deadline_ms", "ms", 30_000, 10, 60_000, "longest deadline that a request may name", func(o *Override) **int64 { return &o.MaxDeadlineMS }},
	{"replica_wait_ms", "ms", 50, 0, 1_000, "wait of a read for a replica that is about to catch up", func(o *Override) **int64 { return &o.ReplicaWaitMS }},
	{"transaction_idle_ms", "ms", 10_000, 100, 60_000, "longest pause inside a transaction", func(o *Override) **int64 { return &o.TransactionIdleMS }},
	{"transaction_total_ms", "ms", 60_000, 100, 600_000, "longest transaction", func(o *Override) **int64 { return &o.TransactionTotalMS }},
	{"queue_length", "requests", 64, 1, 4_096, "waiting requests in one lane", func(o *Override) **int64 { return &o.QueueLength }},
	{"max_age_limit_ms", "ms", 3_600_000, 0, 86_400_000, "highest age that a read may accept", func(o *Override) **int64 { return &o.MaxAgeLimitMS }},
}

func builtIn() Override {
	var o Override
	for _, f := range fields {
		v := f.Default
		*f.of(&o) = &v
	}
	return o
}

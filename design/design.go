// Package design describes the caller API. The goa tool generates internal/gen from it:
//
//	go tool -modfile=tools/go.mod goa gen tanagercross/design -o internal
package design

import . "goa.design/goa/v3/dsl"

var _ = API("tanagercross", func() {
	Title("Database proxy with session consistency")
	Version("1")
	Server("tanagercrossd", func() {
		Services("statements", "transactions", "about")
		Host("local", func() { URI("http://127.0.0.1:8080") })
	})
})

// Cell is a value in text format; a missing value is NULL.
var Cell = Type("Cell", func() {
	Attribute("value", String, "Text of the value; absent for NULL")
})

// Row is one row of an answer.
var Row = Type("Row", func() {
	Attribute("cells", ArrayOf(Cell))
	Required("cells")
})

// Failure is the answer to a request whose outcome is not_run or unknown.
var Failure = Type("Failure", func() {
	ErrorName("name", String, "Name of the error class")
	Attribute("outcome", String, func() { Enum("not_run", "unknown") })
	Attribute("reason", String, "Typed reason, for example queue_full")
	Attribute("message", String, "Explanation for people; contains no key")
	Attribute("request_id", String)
	Attribute("session_token", String)
	Attribute("ask_again", String, "Path to ask for the outcome again; only for unknown")
	Attribute("retry_after_ms", Int, "Suggested wait before another attempt, in milliseconds")
	Required("name", "outcome", "reason", "message", "request_id")
})

// Answer is the answer to a request that was done.
var Answer = Type("Answer", func() {
	Attribute("outcome", String, func() { Enum("done") })
	Attribute("request_id", String)
	Attribute("session_token", String)
	Attribute("columns", ArrayOf(String))
	Attribute("rows", ArrayOf(Row))
	Attribute("rows_affected", Int64)
	Attribute("served_by", String, "Role of the server that answered", func() { Enum("primary", "replica") })
	Attribute("replayed", Boolean, "The answer is the stored one of an earlier run of the same request")
	Attribute("truncated", Boolean, "The stored answer did not keep the rows")
	Attribute("transaction", String, "Id of the open transaction")
	Required("outcome", "request_id", "session_token")
})

func failures() {
	Error("bad_request", Failure)
	Error("unauthorized", Failure)
	Error("forbidden", Failure)
	Error("not_found", Failure)
	Error("conflict", Failure)
	Error("too_large", Failure)
	Error("too_many", Failure)
	Error("unavailable", Failure)
	Error("unknown_outcome", Failure)
}

func failureCodes() {
	Response("bad_request", StatusBadRequest)
	Response("unauthorized", StatusUnauthorized)
	Response("forbidden", StatusForbidden)
	Response("not_found", StatusNotFound)
	Response("conflict", StatusConflict)
	Response("too_large", StatusRequestEntityTooLarge)
	Response("too_many", StatusTooManyRequests)
	Response("unavailable", StatusServiceUnavailable)
	Response("unknown_outcome", StatusGatewayTimeout)
}

func credentials() {
	Attribute("key", String, "Key of the organisation")
	Attribute("session_token", String, "Session token of the last reply")
	Attribute("request_id", String, "Id of the request (UUIDv7); made if absent")
	Attribute("deadline_ms", Int, "Time the caller is ready to wait, in milliseconds", func() { Minimum(1) })
	Attribute("repeat", Boolean, "An earlier attempt with this request id has an unknown outcome")
}

func credentialHeaders() {
	Header("key:x-api-key")
	Header("session_token:x-session-token")
	Header("request_id:x-request-id")
	Header("deadline_ms:x-deadline-ms")
	Header("repeat:x-request-repeat")
}

func statement() {
	Attribute("sql", String, "One statement", func() {
		MinLength(1)
		MaxLength(65536)
	})
	Attribute("arguments", ArrayOf(Cell), func() { MaxLength(256) })
	Required("sql")
}

var _ = Service("statements", func() {
	Description("Single statements and their outcomes.")
	failures()
	HTTP(failureCodes)

	Method("run", func() {
		Description("Run one statement.")
		Payload(func() {
			credentials()
			statement()
			Attribute("group", String, "Database group")
			Attribute("mode", String, func() { Enum("read", "write") })
			Attribute("max_age_ms", Int, "For a read: accept data up to this age, in milliseconds", func() { Minimum(0) })
			Attribute("primary", Boolean, "For a read: read at the primary")
			Attribute("unresolved", ArrayOf(String), "Request ids whose replies the caller lost", func() { MaxLength(16) })
			Required("group", "mode")
		})
		Result(Answer)
		HTTP(func() {
			POST("/v1/groups/{group}/statements")
			credentialHeaders()
			Response(StatusOK)
		})
	})

	Method("outcome", func() {
		Description("Ask for the outcome of an earlier write.")
		Payload(func() {
			Attribute("key", String)
			Attribute("session_token", String)
			Attribute("deadline_ms", Int, func() { Minimum(1) })
			Attribute("group", String)
			Attribute("id", String, "Request id of the earlier write")
			Required("group", "id")
		})
		Result(Answer)
		HTTP(func() {
			GET("/v1/groups/{group}/requests/{id}")
			Header("key:x-api-key")
			Header("session_token:x-session-token")
			Header("deadline_ms:x-deadline-ms")
			Response(StatusOK)
		})
	})
})

var _ = Service("transactions", func() {
	Description("Interactive transactions on the primary.")
	failures()
	HTTP(failureCodes)

	Method("begin", func() {
		Payload(func() {
			credentials()
			Attribute("group", String)
			Required("group")
		})
		Result(Answer)
		HTTP(func() {
			POST("/v1/groups/{group}/transactions")
			credentialHeaders()
			Response(StatusOK)
		})
	})

	Method("run", func() {
		Payload(func() {
			credentials()
			statement()
			Attribute("id", String, "Transaction id")
			Required("id")
		})
		Result(Answer)
		HTTP(func() {
			POST("/v1/transactions/{id}/statements")
			credentialHeaders()
			Response(StatusOK)
		})
	})

	for _, end := range []string{"commit", "rollback"} {
		Method(end, func() {
			Payload(func() {
				credentials()
				Attribute("id", String, "Transaction id")
				Required("id")
			})
			Result(Answer)
			HTTP(func() {
				POST("/v1/transactions/{id}/" + end)
				credentialHeaders()
				Response(StatusOK)
			})
		})
	}
})

// AboutResult describes the API to anyone.
var AboutResult = Type("AboutResult", func() {
	Attribute("name", String)
	Attribute("api_version", String)
	Attribute("groups", ArrayOf(String))
	Required("name", "api_version", "groups")
})

var _ = Service("about", func() {
	Description("Routes that are open to all.")
	Method("about", func() {
		Result(AboutResult)
		HTTP(func() {
			GET("/v1/about")
			Response(StatusOK)
		})
	})
	Method("health", func() {
		HTTP(func() {
			GET("/healthz")
			Response(StatusNoContent)
		})
	})
	Method("ready", func() {
		Error("unready")
		HTTP(func() {
			GET("/readyz")
			Response(StatusNoContent)
			Response("unready", StatusServiceUnavailable)
		})
	})
})

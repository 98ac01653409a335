package peer

import (
	"time"

	"github.com/rotisserie/eris"

	"tanagercross/internal/database/driver"
	"tanagercross/internal/database/operation"
	peerv1 "tanagercross/internal/genproto/peer/v1"
	"tanagercross/internal/session/outcome"
)

func encodeOperation(server string, op operation.Operation) (*peerv1.PerformRequest, error) {
	r := &peerv1.PerformRequest{Server: server}
	switch o := op.(type) {
	case operation.Read:
		r.Organisation = o.Organisation
		r.Operation = &peerv1.PerformRequest_Read{Read: &peerv1.Read{
			AtLeastTerm: o.AtLeast.Term, AtLeastIndex: o.AtLeast.Index,
			Statement: encodeStatement(o.Statement), Durable: o.Durable, KeyHash: o.KeyHash,
		}}
	case operation.Write:
		r.Organisation = o.Organisation
		r.Operation = &peerv1.PerformRequest_Write{Write: &peerv1.Write{
			Term: o.Term, Record: encodeRecord(o.Record), Statement: encodeStatement(o.Statement),
			KeyHash: o.KeyHash,
		}}
	case operation.Begin:
		r.Organisation = o.Organisation
		r.Operation = &peerv1.PerformRequest_Begin{Begin: &peerv1.Begin{
			Session: o.Session, Term: o.Term, KeyHash: o.KeyHash,
		}}
	case operation.Run:
		r.Organisation = o.Organisation
		r.Operation = &peerv1.PerformRequest_Run{Run: &peerv1.Run{
			Session: o.Session, Transaction: o.Transaction, Statement: encodeStatement(o.Statement),
		}}
	case operation.Commit:
		r.Organisation = o.Organisation
		r.Operation = &peerv1.PerformRequest_Commit{Commit: &peerv1.Commit{
			Session: o.Session, Transaction: o.Transaction, Record: encodeRecord(o.Record),
		}}
	case operation.Rollback:
		r.Organisation = o.Organisation
		r.Operation = &peerv1.PerformRequest_Rollback{Rollback: &peerv1.Rollback{
			Session: o.Session, Transaction: o.Transaction,
		}}
	case operation.Lookup:
		r.Organisation = o.Organisation
		r.Operation = &peerv1.PerformRequest_Lookup{Lookup: &peerv1.Lookup{Term: o.Term, RequestId: o.RequestID}}
	default:
		return nil, eris.Errorf("operation %T has no message", op)
	}
	return r, nil
}

func decodeOperation(r *peerv1.PerformRequest) (operation.Operation, error) {
	switch o := r.Operation.(type) {
	case *peerv1.PerformRequest_Read:
		return operation.Read{
			Organisation: r.Organisation,
			AtLeast:      driver.Position{Term: o.Read.AtLeastTerm, Index: o.Read.AtLeastIndex},
			Statement:    decodeStatement(o.Read.Statement), Durable: o.Read.Durable, KeyHash: o.Read.KeyHash,
		}, nil
	case *peerv1.PerformRequest_Write:
		return operation.Write{
			Organisation: r.Organisation, Term: o.Write.Term,
			Record: decodeRecord(o.Write.Record), Statement: decodeStatement(o.Write.Statement),
			KeyHash: o.Write.KeyHash,
		}, nil
	case *peerv1.PerformRequest_Begin:
		return operation.Begin{
			Organisation: r.Organisation, Session: o.Begin.Session, Term: o.Begin.Term, KeyHash: o.Begin.KeyHash,
		}, nil
	case *peerv1.PerformRequest_Run:
		return operation.Run{
			Organisation: r.Organisation, Session: o.Run.Session, Transaction: o.Run.Transaction,
			Statement: decodeStatement(o.Run.Statement),
		}, nil
	case *peerv1.PerformRequest_Commit:
		return operation.Commit{
			Organisation: r.Organisation, Session: o.Commit.Session, Transaction: o.Commit.Transaction,
			Record: decodeRecord(o.Commit.Record),
		}, nil
	case *peerv1.PerformRequest_Rollback:
		return operation.Rollback{
			Organisation: r.Organisation, Session: o.Rollback.Session, Transaction: o.Rollback.Transaction,
		}, nil
	case *peerv1.PerformRequest_Lookup:
		return operation.Lookup{Organisation: r.Organisation, Term: o.Lookup.Term, RequestID: o.Lookup.RequestId}, nil
	}
	return nil, eris.New("request without a known operation")
}

func encodeReply(r operation.Reply) *peerv1.PerformResponse {
	return &peerv1.PerformResponse{
		Outcome: string(r.Verdict.Outcome), Reason: string(r.Verdict.Reason), Message: r.Verdict.Message,
		Result: encodeResult(r.Result), Transaction: r.Transaction,
		RecordFound: r.Record.Found, RecordFingerprint: r.Record.Fingerprint,
		RecordResult: encodeResult(r.Record.Result), RecordTerm: r.Record.Position.Term,
		RecordIndex: r.Record.Position.Index, QueueNanoseconds: int64(r.QueueTime),
		ServiceNanoseconds: int64(r.ServiceTime),
	}
}

func decodeReply(r *peerv1.PerformResponse) operation.Reply {
	return operation.Reply{
		Verdict: outcome.Verdict{
			Outcome: outcome.Outcome(r.Outcome), Reason: outcome.Reason(r.Reason), Message: r.Message,
		},
		Result: decodeResult(r.Result), Transaction: r.Transaction,
		Record: driver.RecordState{
			Found: r.RecordFound, Fingerprint: r.RecordFingerprint, Result: decodeResult(r.RecordResult),
			Position: driver.Position{Term: r.RecordTerm, Index: r.RecordIndex},
		},
		QueueTime: time.Duration(r.QueueNanoseconds), ServiceTime: time.Duration(r.ServiceNanoseconds),
	}
}

func encodeTexts(values []*string) []*peerv1.Text {
	texts := make([]*peerv1.Text, 0, len(values))
	for _, v := range values {
		texts = append(texts, &peerv1.Text{Value: v})
	}
	return texts
}

func decodeTexts(texts []*peerv1.Text) []*string {
	if len(texts) == 0 {
		return nil
	}
	values := make([]*string, 0, len(texts))
	for _, t := range texts {
		values = append(values, t.Value)
	}
	return values
}

func encodeStatement(s driver.Statement) *peerv1.Statement {
	return &peerv1.Statement{Sql: s.SQL, Arguments: encodeTexts(s.Arguments)}
}

func decodeStatement(s *peerv1.Statement) driver.Statement {
	return driver.Statement{SQL: s.GetSql(), Arguments: decodeTexts(s.GetArguments())}
}

func encodeRecord(r driver.Record) *peerv1.Record {
	return &peerv1.Record{RequestId: r.RequestID, Fingerprint: r.Fingerprint}
}

func decodeRecord(r *peerv1.Record) driver.Record {
	return driver.Record{RequestID: r.GetRequestId(), Fingerprint: r.GetFingerprint()}
}

func encodeResult(r driver.Result) *peerv1.Result {
	out := &peerv1.Result{
		Columns: r.Columns, RowsAffected: r.RowsAffected, Term: r.Position.Term, Index: r.Position.Index,
		Replayed: r.Replayed, Truncated: r.Truncated,
	}
	for _, row := range r.Rows {
		out.Rows = append(out.Rows, &peerv1.Row{Values: encodeTexts(row)})
	}
	return out
}

func decodeResult(r *peerv1.Result) driver.Result {
	out := driver.Result{
		Columns: r.GetColumns(), RowsAffected: r.GetRowsAffected(),
		Position: driver.Position{Term: r.GetTerm(), Index: r.GetIndex()},
		Replayed: r.GetReplayed(), Truncated: r.GetTruncated(),
	}
	for _, row := range r.GetRows() {
		out.Rows = append(out.Rows, decodeTexts(row.GetValues()))
	}
	return out
}

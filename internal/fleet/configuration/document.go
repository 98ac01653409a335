// Package configuration holds the fleet's configuration: defaults for every organisation and a short list of
// exceptions, each with a written reason.
//
// The document is YAML in snake case:
//
//	defaults:
//	  rate_per_second: 200
//	  burst: 400
//	exceptions:
//	  - organisation: sertao_coop
//	    rate_per_second: 500
//	    reason: threshing season, agreed with the cooperative
//	    by: ana
//	    until: 2026-08-01T00:00:00Z
//
// # Usage
//
//	d, err := configuration.Parse(data)
//	values := d.At(now).For("sertao_coop")
//	for _, change := range configuration.Diff(old, d) {
//		log.Info("changed", "path", change.Path, "before", change.Before, "after", change.After)
//	}
//
// The zero Document stands for the built-in defaults. Errors are *Error; its problems name line, path, value and what
// is allowed. The ranges are those of Fields, and schema.json holds the same ranges for editors.
package configuration

import (
	"bytes"
	"time"

	"github.com/goccy/go-yaml"
	"github.com/rotisserie/eris"
)

// Override holds the values that a part of the document sets; nil leaves a value as it is.
type Override struct {
	RatePerSecond      *int64 `yaml:"rate_per_second,omitempty" json:"rate_per_second,omitempty"`
	Burst              *int64 `yaml:"burst,omitempty" json:"burst,omitempty"`
	Weight             *int64 `yaml:"weight,omitempty" json:"weight,omitempty"`
	MaxStatementBytes  *int64 `yaml:"max_statement_bytes,omitempty" json:"max_statement_bytes,omitempty"`
	MaxAnswerBytes     *int64 `yaml:"max_answer_bytes,omitempty" json:"max_answer_bytes,omitempty"`
	DefaultDeadlineMS  *int64 `yaml:"default_deadline_ms,omitempty" json:"default_deadline_ms,omitempty"`
	MaxDeadlineMS      *int64 `yaml:"max_deadline_ms,omitempty" json:"max_deadline_ms,omitempty"`
	ReplicaWaitMS      *int64 `yaml:"replica_wait_ms,omitempty" json:"replica_wait_ms,omitempty"`
	TransactionIdleMS  *int64 `yaml:"transaction_idle_ms,omitempty" json:"transaction_idle_ms,omitempty"`
	TransactionTotalMS *int64 `yaml:"transaction_total_ms,omitempty" json:"transaction_total_ms,omitempty"`
	QueueLength        *int64 `yaml:"queue_length,omitempty" json:"queue_length,omitempty"`
	MaxAgeLimitMS      *int64 `yaml:"max_age_limit_ms,omitempty" json:"max_age_limit_ms,omitempty"`
}

// Exception holds the values that differ for one organisation.
type Exception struct {
	Organisation string `yaml:"organisation" json:"organisation"`
	Override     `yaml:",inline"`
	Reason       string     `yaml:"reason" json:"reason"`
	By           string     `yaml:"by" json:"by"`
	Until        *time.Time `yaml:"until,omitempty" json:"until,omitempty"` // the exception ends at this time
}

// Document is the configuration of the fleet. It is a value; its slices must not be changed.
type Document struct {
	Defaults   Override    `yaml:"defaults,omitempty" json:"defaults"`
	Exceptions []Exception `yaml:"exceptions,omitempty" json:"exceptions"`
}

// Values are the values in force for one organisation.
type Values struct {
	RatePerSecond     int64 // requests per second over all instances
	Burst             int64 // requests
	Weight            int64 // share in the fair queue, relative to the other organisations
	MaxStatementBytes int64
	MaxAnswerBytes    int64
	DefaultDeadline   time.Duration // for requests that name no deadline
	MaxDeadline       time.Duration
	ReplicaWait       time.Duration // wait of a read for a replica that is about to catch up
	TransactionIdle   time.Duration
	TransactionTotal  time.Duration
	QueueLength       int64         // requests of the organisation in one lane's queue
	MaxAgeLimit       time.Duration // highest max_age_ms that a read may name
}

// At returns the document without the exceptions that have ended at the given time.
func (d Document) At(now time.Time) Document {
	var kept []Exception
	for _, e := range d.Exceptions {
		if e.Until == nil || now.Before(*e.Until) {
			kept = append(kept, e)
		}
	}
	d.Exceptions = kept
	return d
}

// For returns the values of an organisation, whether or not its exception has ended; see At.
func (d Document) For(organisation string) Values {
	o := builtIn().with(d.Defaults)
	for _, e := range d.Exceptions {
		if e.Organisation == organisation {
			o = o.with(e.Override)
		}
	}
	return o.values()
}

// Resolved holds the values of every organisation of a document, for use on the path of requests. It is immutable; the
// zero value stands for the built-in defaults.
type Resolved struct {
	set        bool
	defaults   Values
	exceptions map[string]Values
}

// Resolve computes the values of every organisation; like For, it includes exceptions that have ended, see At.
func (d Document) Resolve() Resolved {
	r := Resolved{set: true, defaults: Document{Defaults: d.Defaults}.For(""), exceptions: make(map[string]Values, len(d.Exceptions))}
	for _, e := range d.Exceptions {
		r.exceptions[e.Organisation] = d.For(e.Organisation)
	}
	return r
}

// For returns the values of an organisation.
func (r Resolved) For(organisation string) Values {
	if !r.set {
		return Document{}.For("")
	}
	if v, ok := r.exceptions[organisation]; ok {
		return v
	}
	return r.defaults
}

// YAML writes the document.
func (d Document) YAML() ([]byte, error) {
	var b bytes.Buffer
	if err := yaml.NewEncoder(&b, yaml.IndentSequence(true)).Encode(d); err != nil {
		return nil, &Error{Operation: "write", Kind: Syntax, Err: eris.Wrap(err, "YAML")}
	}
	return b.Bytes(), nil
}

// with returns a copy in which the values that next sets replace those of o.
func (o Override) with(next Override) Override {
	for _, f := range fields {
		if v := *f.of(&next); v != nil {
			*f.of(&o) = v
		}
	}
	return o
}

// values converts an override that sets every field.
func (o Override) values() Values {
	milliseconds := func(v *int64) time.Duration { return time.Duration(*v) * time.Millisecond }
	return Values{
		RatePerSecond:     *o.RatePerSecond,
		Burst:             *o.Burst,
		Weight:            *o.Weight,
		MaxStatementBytes: *o.MaxStatementBytes,
		MaxAnswerBytes:    *o.MaxAnswerBytes,
		DefaultDeadline:   milliseconds(o.DefaultDeadlineMS),
		MaxDeadline:       milliseconds(o.MaxDeadlineMS),
		ReplicaWait:       milliseconds(o.ReplicaWaitMS),
		TransactionIdle:   milliseconds(o.TransactionIdleMS),
		TransactionTotal:  milliseconds(o.TransactionTotalMS),
		QueueLength:       *o.QueueLength,
		MaxAgeLimit:       milliseconds(o.MaxAgeLimitMS),
	}
}

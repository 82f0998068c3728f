package registrar

import (
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/json"
	"errors"
	"fmt"
	"strings"
	"time"

	"siskinfall/internal/fault/wrapper"
	"siskinfall/internal/store/storer"
	"siskinfall/internal/wire/encoder"
)

// Keys in the platform's table and object store.
const (
	headKey      = "config/head"
	ticketPrefix = "config/ticket/"
	changePrefix = "config/change/"
	entityPrefix = "config/entity/"
	snapshotKey  = "config/snapshot"
)

// maxAcceptAttempts bounds the transactions attempted for one ticket.
const maxAcceptAttempts = 8

// ErrNumberTaken is returned for a ticket whose number was accepted with other
// content.
var ErrNumberTaken = errors.New("ticket number is taken by another content")

// ErrUncertain is returned when the outcome of a transaction is unknown: the
// ticket may or may not have been accepted.
var ErrUncertain = errors.New("the platform's answer is missing: the ticket may have been accepted, apply it again")

// SupersededError is returned for a ticket that sets an entity whose number in
// force is not lower.
type SupersededError struct {
	Ref Ref
	// By is the number in force, at least that of the refused ticket.
	By uint64
}

// Error implements error.
func (e *SupersededError) Error() string {
	return fmt.Sprintf("%s was already set by ticket %d", e.Ref, e.By)
}

// record is the value of a ticket row and of a change row.
type record struct {
	Number uint64 `json:"number"`
	// Sequence is the position of the ticket in the order of acceptance, from 1.
	Sequence uint64            `json:"sequence"`
	Author   string            `json:"author"`
	Sum      []byte            `json:"sha256"`
	Time     time.Time         `json:"time"`
	Entities []*encoder.Entity `json:"entities"`
}

// head holds the sequence of the latest accepted ticket.
type head struct {
	Sequence uint64 `json:"sequence"`
}

// Registry stores accepted tickets in the platform's table and reads them back.
type Registry struct {
	table   storer.Table
	objects storer.Objects
}

// NewRegistry returns a Registry that is stored on the platform p.
func NewRegistry(p storer.Platform) *Registry {
	return &Registry{table: p, objects: p}
}

// Accept commits a ticket in one conditional transaction and returns its
// entities. Accepting the same ticket again succeeds without effect. Definite
// refusals are a SupersededError or ErrNumberTaken.
func (r *Registry) Accept(ctx context.Context, t *Ticket) ([]*encoder.Entity, error) {
	entities, err := t.Entities()
	if err != nil {
		return nil, err
	}
	body, err := json.Marshal(t)
	if err != nil {
		return nil, wrapper.At("encode_ticket", "", err)
	}
	sum := sha256.Sum256(body)
	uncertain := false
	for range maxAcceptAttempts {
		accepted, err := r.tryAccept(ctx, t, entities, sum[:])
		switch {
		case err == nil && accepted:
			return entities, nil
		case err == nil, storer.IsErrConflict(err):
			continue
		case isRefusal(err):
			return entities, r.checkRefusal(ctx, t.Number, sum[:], err)
		}
		uncertain = true
		if ctx.Err() != nil {
			break
		}
	}
	if uncertain {
		return nil, wrapper.At("accept_ticket", "platform", ErrUncertain)
	}
	return nil, wrapper.At("accept_ticket", "platform", storer.ErrConflict)
}

// checkRefusal returns nil if the ticket has been accepted in the meantime:
// another operator may have applied the same ticket first, followed by a later
// ticket that supersedes it.
func (r *Registry) checkRefusal(ctx context.Context, number uint64, sum []byte, refusal error) error {
	accepted, err := r.isAccepted(ctx, number, sum)
	switch {
	case accepted:
		return nil
	case isRefusal(err):
		return err
	case err == nil:
		return refusal
	}
	return wrapper.At("accept_ticket", "platform", ErrUncertain)
}

// isRefusal reports whether err is definite: the ticket was not accepted by this
// transaction.
func isRefusal(err error) bool {
	var s *SupersededError
	return errors.As(err, &s) || errors.Is(err, ErrNumberTaken)
}

// tryAccept attempts one transaction. It reports true if the ticket is accepted,
// by this transaction or by an earlier one.
func (r *Registry) tryAccept(ctx context.Context, t *Ticket, entities []*encoder.Entity, sum []byte) (bool, error) {
	if accepted, err := r.isAccepted(ctx, t.Number, sum); accepted || err != nil {
		return accepted, err
	}
	headRow, seq, err := r.readHead(ctx)
	if err != nil {
		return false, err
	}
	rec := record{Number: t.Number, Sequence: seq + 1, Author: t.Author, Sum: sum, Time: time.Now().UTC(), Entities: entities}
	recBody, err := json.Marshal(rec)
	if err != nil {
		return false, wrapper.At("encode_ticket", "", err)
	}
	headBody, err := json.Marshal(head{Sequence: seq + 1})
	if err != nil {
		return false, wrapper.At("encode_head", "", err)
	}
	txn := storer.Txn{
		Conditions: []storer.Condition{{Key: headKey, Version: headRow.Version}, {Key: ticketKey(t.Number)}},
		Writes: []storer.Write{
			{Key: headKey, Value: headBody},
			{Key: ticketKey(t.Number), Value: recBody},
			{Key: changeKey(seq + 1), Value: recBody},
		},
	}
	for _, e := range entities {
		if err := r.addEntity(ctx, &txn, e); err != nil {
			return false, err
		}
	}
	if err := r.table.Commit(ctx, txn); err != nil {
		return false, err
	}
	return true, nil
}

// addEntity adds the write of one entity to txn, or returns a SupersededError.
func (r *Registry) addEntity(ctx context.Context, txn *storer.Txn, e *encoder.Entity) error {
	ref := Ref{Kind: Kind(e.GetKind()), Name: e.GetName()}
	key := entityPrefix + ref.String()
	row, err := r.table.GetRow(ctx, key)
	if err != nil && !storer.IsErrRowNotExist(err) {
		return err
	}
	var cur encoder.Entity
	if row.Version > 0 {
		if err := json.Unmarshal(row.Value, &cur); err != nil {
			return wrapper.At("decode_entity", "platform", err)
		}
	}
	if cur.GetNumber() >= e.GetNumber() {
		return &SupersededError{Ref: ref, By: cur.GetNumber()}
	}
	body, err := json.Marshal(e)
	if err != nil {
		return wrapper.At("encode_entity", "", err)
	}
	txn.Conditions = append(txn.Conditions, storer.Condition{Key: key, Version: row.Version})
	txn.Writes = append(txn.Writes, storer.Write{Key: key, Value: body})
	return nil
}

func (r *Registry) isAccepted(ctx context.Context, number uint64, sum []byte) (bool, error) {
	row, err := r.table.GetRow(ctx, ticketKey(number))
	if storer.IsErrRowNotExist(err) {
		return false, nil
	}
	if err != nil {
		return false, err
	}
	var rec record
	if err := json.Unmarshal(row.Value, &rec); err != nil {
		return false, wrapper.At("decode_ticket", "platform", err)
	}
	if !bytes.Equal(rec.Sum, sum) {
		return false, fmt.Errorf("%w: number %d by %s", ErrNumberTaken, number, rec.Author)
	}
	return true, nil
}

func (r *Registry) readHead(ctx context.Context) (storer.Row, uint64, error) {
	row, err := r.table.GetRow(ctx, headKey)
	if storer.IsErrRowNotExist(err) {
		return storer.Row{}, 0, nil
	}
	if err != nil {
		return storer.Row{}, 0, err
	}
	var h head
	err = json.Unmarshal(row.Value, &h)
	return row, h.Sequence, wrapper.At("decode_head", "platform", err)
}

func ticketKey(number uint64) string { return fmt.Sprintf("%s%020d", ticketPrefix, number) }
func changeKey(seq uint64) string    { return fmt.Sprintf("%s%020d", changePrefix, seq) }

// Summary describes an accepted ticket.
type Summary struct {
	Number   uint64    `json:"number"`
	Sequence uint64    `json:"sequence"`
	Author   string    `json:"author"`
	Time     time.Time `json:"time"`
	// Changed lists the entities that it set or deleted, as kind/name.
	Changed []string `json:"touched"`
}

// listPageSize is the number of rows requested per read.
const listPageSize = 256

// ListTickets returns the accepted tickets in ascending order of number.
func (r *Registry) ListTickets(ctx context.Context) ([]Summary, error) {
	recs, err := r.listRecords(ctx, ticketPrefix, ticketPrefix)
	if err != nil {
		return nil, err
	}
	list := make([]Summary, 0, len(recs))
	for _, rec := range recs {
		s := Summary{Number: rec.Number, Sequence: rec.Sequence, Author: rec.Author, Time: rec.Time}
		for _, e := range rec.Entities {
			s.Changed = append(s.Changed, strings.Join([]string{e.GetKind(), e.GetName()}, "/"))
		}
		list = append(list, s)
	}
	return list, nil
}

func (r *Registry) listRecords(ctx context.Context, prefix, after string) ([]record, error) {
	var list []record
	for {
		rows, err := r.table.ListRows(ctx, prefix, after, listPageSize)
		if err != nil {
			return nil, err
		}
		for _, row := range rows {
			var rec record
			if err := json.Unmarshal(row.Value, &rec); err != nil {
				return nil, wrapper.At("decode_ticket", "platform", err)
			}
			list = append(list, rec)
			after = row.Key
		}
		if len(rows) < listPageSize {
			return list, nil
		}
	}
}

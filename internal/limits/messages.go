package limits

import (
	"math"
	"time"

	"ringstream.example/ringstream/internal/core/identity"
	"ringstream.example/ringstream/internal/core/quota"
)

// asksMessage carries a node's asks to one owner in one batch.
type asksMessage struct{ Asks []ask }

// answersMessage carries the answers to an asksMessage.
type answersMessage struct{ Answers []answer }

// recallMessage requests that the holders of a concurrency limit's permits
// return idle ones at once, because other nodes lack permits.
type recallMessage struct {
	Row    identity.RowID
	Tenant identity.TenantID
}

// ask requests credits and permits of one row's limits, or of one tenant's
// limits within a row. The owner reads the limits' values from its own copy of
// the table. Sequence is unique among the asks of one node. An ask with
// Sequence 0 only returns credits or permits and has no answer.
type ask struct {
	Row      identity.RowID
	Tenant   identity.TenantID
	Sequence uint64
	Requests rateAsk
	Tokens   rateAsk
	Permits  permitAsk
}

// rateAsk is quota.CreditRequest in whole credits. Back is the number of credits returned.
type rateAsk struct{ Need, Want, Back uint32 }

// permitAsk is quota.PermitRequest. With Sequence 0 the ask is not about permits.
type permitAsk struct {
	Sequence   uint64
	Hold, Want uint32
}

// answer is an owner's answer to the ask with the same Sequence.
type answer struct {
	Sequence uint64
	Requests loan
	Tokens   loan
	Permits  permits
}

// loan is quota.Loan with RetryAfter in milliseconds.
type loan struct{ Credits, RetryAfter uint32 }

// permits is the answer to a permitAsk. Given reports whether the answer is
// present, and Short whether idle permits must be returned at once. RetryAfter
// is in milliseconds.
type permits struct {
	Given, Short      bool
	Total, RetryAfter uint32
}

func (a ask) key() meterKey { return meterKey{row: a.Row, tenant: a.Tenant} }

// onlyReturns reports whether an ask only returns credits or permits, which needs no answer.
func (a ask) onlyReturns() bool {
	return a.Requests.Want == 0 && a.Tokens.Want == 0 && (a.Permits.Sequence == 0 || a.Permits.Want == 0)
}

func toRateAsk(quotaAsk quota.CreditRequest) rateAsk {
	return rateAsk{Need: roundUp(quotaAsk.Need), Want: roundUp(quotaAsk.Want)}
}

// roundUp rounds up to a whole number within the range of uint32.
func roundUp(amount float64) uint32 {
	return uint32(min(max(0, math.Ceil(amount)), math.MaxUint32))
}

func toLoan(quotaLoan quota.Loan) loan {
	return loan{Credits: roundUp(quotaLoan.Credits), RetryAfter: milliseconds(quotaLoan.RetryAfter)}
}

func (l loan) toQuota() quota.Loan {
	return quota.Loan{Credits: float64(l.Credits), RetryAfter: time.Duration(l.RetryAfter) * time.Millisecond}
}

func milliseconds(duration time.Duration) uint32 {
	return roundUp(float64(duration) / float64(time.Millisecond))
}

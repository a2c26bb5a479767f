package idempotency

import "ringstream.example/ringstream/internal/core/site"

// The methods in this file are the steps of a claim's owner. Each is called on the
// record of the owner's claim and returns the record to commit against the version
// of that claim. A failed compare means that the claim was taken over and that the
// step had no effect.

// RecordIntent records the attempt that is about to be sent. A later intent
// replaces one whose attempt provably did not run.
func (r Record) RecordIntent(intent Intent) Record {
	r.Intent = intent
	return r
}

// Complete records the result, either itself or as the name of an object. The
// object must have been written before.
func (r Record) Complete(result []byte, object string) Record {
	r.Phase, r.Result, r.ResultObject = Done, result, object
	return r
}

// Release releases the key after a run that provably did not happen or that may be
// repeated.
func (r Record) Release() Record {
	r.Phase, r.Intent = Released, Intent{}
	return r
}

// Settle binds the key to the other site after the forward arrived there.
func (r Record) Settle() Record {
	r.Phase = Forwarded
	return r
}

// Redirect changes the claim of a first forward that provably had no effect into
// one that runs the request on this site.
func (r Record) Redirect() Record {
	r.Site = site.Here
	return r
}

package origins

import (
	"context"
	"slices"
	"time"

	"go.uber.org/zap"

	"ringstream.example/ringstream/internal/core/streamorigin"
	"ringstream.example/ringstream/internal/events"
	"ringstream.example/ringstream/internal/wait"
)

// Stream identifies a stream that a client takes up.
type Stream struct {
	Request string // id of the request that takes it up, for the log
	Resumes string // id of the request that brought its first event; empty if the client does not say
	Pool    string
}

// lookup is the state of one search for a stream's origin.
type lookup struct {
	streamorigin.Lookup
	key      streamorigin.Key
	from     string // the node that has the record; empty for this one
	asked    []string
	answered map[string]bool
}

// Find returns the software version at which a stream may be resumed. It returns ErrNotFound if no
// node that answers knows it, or the error of ctx.
func (s *Service) Find(ctx context.Context, stream Stream) (software string, err error) {
	started := time.Now()
	search := &lookup{answered: make(map[string]bool)}
	if stream.Resumes != "" {
		search.key = streamorigin.KeyOf(stream.Resumes)
	}
	search.Add(s.evidence(stream.Pool, search.key))
	software, source := search.Result(false)
	if source == streamorigin.Undecided {
		s.askPeers(ctx, stream, search)
		s.awaitVersions(ctx, stream.Pool, search, started.Add(lookupTimeout))
		reliable := s.reliesOn(stream.Pool, search)
		search.Add(s.evidence(stream.Pool, search.key)) // after reliesOn, which may have become true meanwhile
		software, source = search.Result(true)
		if source == streamorigin.OnlyVersion && !reliable {
			software, source = "", streamorigin.NotFound
		}
	}
	s.logLookup(stream, search, software, source, started)
	switch {
	case ctx.Err() != nil:
		return "", ctx.Err()
	case source == streamorigin.NotFound:
		return "", ErrNotFound
	}
	if stream.Resumes != "" {
		s.Began(stream.Pool, stream.Resumes, software)
	}
	return software, nil
}

// logLookup logs what a lookup found and what it rests on.
func (s *Service) logLookup(stream Stream, search *lookup, software string, source streamorigin.Source, started time.Time) {
	served, rowRead := s.Served(stream.Pool)
	events.OriginLookedUp.Log(s.Logger, zap.String("request", stream.Request), zap.String("resumes", stream.Resumes), zap.String("pool", stream.Pool),
		zap.String("software", software), zap.Stringer("source", source), zap.String("from", search.from), zap.Strings("versions", search.Versions()),
		zap.Bool("row_read", rowRead), zap.Strings("row_versions", served), zap.Duration("running_for", time.Since(s.started)),
		zap.Int("asked", len(search.asked)), zap.Int("answered", len(search.answered)), zap.Duration("elapsed", time.Since(started)))
}

// reliesOn reports whether the evidence of a search covers the versions of all engines that may have
// begun the stream. This node's own evidence has to, since a node of an earlier build that has just
// started answers as well. If no other node answers, the list of engines has to be fresh, too.
func (s *Service) reliesOn(pool string, search *lookup) bool {
	switch {
	case len(search.answered) > 0:
		return s.coversVersions(pool)
	case len(search.asked) == 0:
		return (s.transport == nil || s.PeersKnown()) && s.coversVersions(pool)
	default:
		return s.EnginesAge() <= maxEnginesAge && s.coversVersions(pool)
	}
}

// versionsCheck is the interval at which a lookup looks whether the versions kept in the store are read.
const versionsCheck = 10 * time.Millisecond

// awaitVersions waits until this node has read the versions kept in the store, if the evidence of a search
// is of one version only. A node that has just started accepts clients some moments before.
func (s *Service) awaitVersions(ctx context.Context, pool string, search *lookup, deadline time.Time) {
	if _, source := search.Result(true); source != streamorigin.OnlyVersion {
		return
	}
	for !s.coversVersions(pool) && time.Now().Before(deadline) && wait.For(ctx, versionsCheck) {
	}
}

// askPeers asks the other nodes, and those again that do not answer, until the origin is known, all
// have answered, or lookupTimeout has passed.
func (s *Service) askPeers(ctx context.Context, stream Stream, search *lookup) {
	if s.transport == nil {
		return
	}
	id, replies := s.register(search)
	defer s.unregister(id)
	ctx, cancel := context.WithTimeout(ctx, lookupTimeout)
	defer cancel()
	question := streamorigin.Message{Question: &streamorigin.Question{ID: id, Key: search.key, Pool: stream.Pool}}
	for ctx.Err() == nil {
		search.addPeers(streamorigin.AskedFor(search.key, s.askable()))
		if len(search.asked) == 0 && s.PeersKnown() {
			return // there is no other node
		}
		for _, peer := range search.asked {
			if !search.answered[peer] {
				s.transport.SendOrigins(peer, question)
			}
		}
		if search.await(ctx, replies) || search.onlyOneVersion() {
			return
		}
	}
}

// allAnswered reports whether each node that was asked has answered.
func (l *lookup) allAnswered() bool {
	return !slices.ContainsFunc(l.asked, func(address string) bool { return !l.answered[address] })
}

// askable returns the other nodes, or those that the settings name while this node knows none.
func (s *Service) askable() []streamorigin.Node {
	nodes := s.Peers()
	if len(nodes) > 0 {
		return nodes
	}
	for _, seed := range s.Seeds() {
		nodes = append(nodes, streamorigin.Node{Address: seed})
	}
	return nodes
}

// addPeers adds nodes that have not been asked yet.
func (l *lookup) addPeers(addresses []string) {
	for _, address := range addresses {
		if !slices.Contains(l.asked, address) {
			l.asked = append(l.asked, address)
		}
	}
}

// onlyOneVersion reports whether all nodes that have answered know of one version only. A record is
// of no use then.
func (l *lookup) onlyOneVersion() bool { return len(l.answered) > 0 && len(l.Versions()) == 1 }

// await collects answers for answerTimeout. It reports whether no further answer is needed.
func (l *lookup) await(ctx context.Context, replies <-chan reply) (done bool) {
	again := time.NewTimer(answerTimeout)
	defer again.Stop()
	for {
		select {
		case <-ctx.Done():
			return true
		case <-again.C:
			return false
		case answer := <-replies:
			l.answered[answer.from] = true
			l.Add(answer.evidence)
			if answer.evidence.Software != "" {
				l.from = answer.from
			}
			if _, source := l.Result(false); source != streamorigin.Undecided || l.allAnswered() {
				return true
			}
		}
	}
}

// maxPendingAnswers bounds the answers of one lookup that wait to be read. Later ones are dropped, and
// their nodes are asked again.
const maxPendingAnswers = 64

// register returns the id of a new lookup and the channel of its answers.
func (s *Service) register(search *lookup) (id uint64, replies <-chan reply) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lastID++
	pending := pendingLookup{key: search.key, replies: make(chan reply, maxPendingAnswers)}
	s.lookups[s.lastID] = pending
	return s.lastID, pending.replies
}

func (s *Service) unregister(id uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.lookups, id)
}

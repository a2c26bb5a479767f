package peer

import (
	"sync"
	"sync/atomic"

	"github.com/prometheus/client_golang/prometheus"
)

// noMessage is the name under which frames without a message are counted.
const noMessage = "none"

// Count is the traffic of one message type.
type Count struct {
	SentMessages, SentBytes         int64
	ReceivedMessages, ReceivedBytes int64
}

type counter struct{ sentMessages, sentBytes, receivedMessages, receivedBytes atomic.Int64 }

// traffic counts frames and their bytes by message type.
type traffic struct {
	counters sync.Map // message type's name (string) to *counter
	dropped  atomic.Int64
}

func (t *traffic) counter(msgType *messageType) *counter {
	name := noMessage
	if msgType != nil {
		name = msgType.name
	}
	if found, ok := t.counters.Load(name); ok {
		return found.(*counter)
	}
	found, _ := t.counters.LoadOrStore(name, &counter{})
	return found.(*counter)
}

func (t *traffic) sent(msgType *messageType, size int) {
	c := t.counter(msgType)
	c.sentMessages.Add(1)
	c.sentBytes.Add(int64(size))
}

func (t *traffic) received(msgType *messageType, size int) {
	c := t.counter(msgType)
	c.receivedMessages.Add(1)
	c.receivedBytes.Add(int64(size))
}

// Traffic returns the messages and bytes that the node has sent and received, by message type.
func (n *Node) Traffic() map[string]Count {
	counts := map[string]Count{}
	n.traffic.counters.Range(func(name, value any) bool {
		c := value.(*counter)
		counts[name.(string)] = Count{
			SentMessages: c.sentMessages.Load(), SentBytes: c.sentBytes.Load(),
			ReceivedMessages: c.receivedMessages.Load(), ReceivedBytes: c.receivedBytes.Load(),
		}
		return true
	})
	return counts
}

var (
	sentBytesDesc     = prometheus.NewDesc("ringstream_peer_sent_bytes_total", "Bytes sent to other nodes.", []string{"message"}, nil)
	sentMessagesDesc  = prometheus.NewDesc("ringstream_peer_sent_messages_total", "Messages sent to other nodes.", []string{"message"}, nil)
	receivedBytesDesc = prometheus.NewDesc("ringstream_peer_received_bytes_total", "Bytes received from other nodes.", []string{"message"}, nil)
	droppedDesc       = prometheus.NewDesc("ringstream_peer_dropped_total", "Messages dropped because a send queue was full.", nil, nil)
	linksDesc         = prometheus.NewDesc("ringstream_peer_links", "Overlay links that work.", nil, nil)
	membersDesc       = prometheus.NewDesc("ringstream_peer_members", "Members by state, as this node sees them.", []string{"state"}, nil)
	accusedDesc       = prometheus.NewDesc("ringstream_peer_accusations_total", "Members that this node suspected on its own evidence.", nil, nil)
	refutedDesc       = prometheus.NewDesc("ringstream_peer_refutations_total", "Times that this node denied its own death.", nil, nil)
)

// collector exports the node's counts to Prometheus.
type collector struct{ node *Node }

// Describe implements prometheus.Collector.
func (c collector) Describe(to chan<- *prometheus.Desc) { prometheus.DescribeByCollect(c, to) }

// Collect implements prometheus.Collector.
func (c collector) Collect(to chan<- prometheus.Metric) {
	counter := func(desc *prometheus.Desc, value int64, labels ...string) {
		to <- prometheus.MustNewConstMetric(desc, prometheus.CounterValue, float64(value), labels...)
	}
	for name, count := range c.node.Traffic() {
		counter(sentBytesDesc, count.SentBytes, name)
		counter(sentMessagesDesc, count.SentMessages, name)
		counter(receivedBytesDesc, count.ReceivedBytes, name)
	}
	counter(droppedDesc, c.node.traffic.dropped.Load())
	counter(accusedDesc, c.node.accusations.Load())
	counter(refutedDesc, c.node.refutations.Load())
	states := map[string]int{}
	for _, member := range c.node.View().Members {
		states[member.State.String()]++
	}
	for state, count := range states {
		to <- prometheus.MustNewConstMetric(membersDesc, prometheus.GaugeValue, float64(count), state)
	}
	to <- prometheus.MustNewConstMetric(linksDesc, prometheus.GaugeValue, float64(c.node.Links()))
}

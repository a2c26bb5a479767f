package admin

import (
	"math"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	dto "github.com/prometheus/client_model/go"
)

// latencyHistograms lists the histograms that the page shows, in display order.
// Their unit is seconds.
var latencyHistograms = []struct{ metric, name string }{
	{"ringstream_gateway_first_token_seconds", "first token"},
	{"ringstream_gateway_next_token_seconds", "between tokens"},
	{"ringstream_rows_in_force_seconds", "row change in force"},
}

// latencySummary holds the quantiles of one histogram since the node started.
type latencySummary struct {
	Name          string
	Count         uint64
	P50, P95, P99 string
}

// latencySummaries reads the listed histograms that have samples.
func latencySummaries(gatherer prometheus.Gatherer) []latencySummary {
	families, _ := gatherer.Gather() // on an error, the page shows the metrics that were gathered
	byName := make(map[string]*dto.MetricFamily, len(families))
	for _, family := range families {
		byName[family.GetName()] = family
	}
	var found []latencySummary
	for _, measure := range latencyHistograms {
		family := byName[measure.metric]
		if family == nil || len(family.GetMetric()) == 0 {
			continue
		}
		histogram := family.GetMetric()[0].GetHistogram()
		if histogram.GetSampleCount() == 0 {
			continue
		}
		found = append(found, latencySummary{
			Name: measure.name, Count: histogram.GetSampleCount(),
			P50: quantile(histogram, 0.50), P95: quantile(histogram, 0.95), P99: quantile(histogram, 0.99),
		})
	}
	return found
}

// quantile estimates a quantile as Prometheus does, by linear interpolation within
// a bucket.
func quantile(histogram *dto.Histogram, fraction float64) string {
	rank := fraction * float64(histogram.GetSampleCount())
	countBelow, lower := 0.0, 0.0
	for _, bucket := range histogram.GetBucket() {
		upTo, upper := float64(bucket.GetCumulativeCount()), bucket.GetUpperBound()
		if upTo < rank {
			countBelow, lower = upTo, upper
			continue
		}
		if math.IsInf(upper, 1) {
			break
		}
		return seconds(lower + (upper-lower)*(rank-countBelow)/(upTo-countBelow)).String()
	}
	return "over " + seconds(lower).String()
}

func seconds(value float64) time.Duration {
	duration := time.Duration(value * float64(time.Second))
	if duration < 10*time.Millisecond {
		return duration.Round(10 * time.Microsecond)
	}
	return duration.Round(time.Millisecond)
}

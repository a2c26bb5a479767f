package admin

import (
	"bytes"
	"cmp"
	"context"
	_ "embed" // the page's template
	"fmt"
	"html/template"
	"net/http"
	"slices"
	"time"

	"github.com/labstack/echo/v4"

	"ringstream.example/ringstream/internal/core/identity"
	"ringstream.example/ringstream/internal/core/membership"
	"ringstream.example/ringstream/internal/core/policy"
	"ringstream.example/ringstream/internal/version"
)

const (
	refreshSeconds = 15
	maxPageRows    = 100 // table rows shown
	maxPageJobs    = 10  // jobs shown; each requires reads from the store
)

//go:embed page.html
var pageText string

var pageTemplate = template.Must(template.New("page").Funcs(template.FuncMap{"limit": limitText}).Parse(pageText))

// page is the input of the page template, which refers to its fields by name.
type page struct {
	Self           identity.NodeID
	Version        string
	At             time.Time
	NotReady       string
	RefreshSeconds int
	Nodes          []pageNode
	NodesAlive     int
	Zones          []*pageZone
	Engines        []pageEngine
	HasEngines     bool
	TableRevision  uint64
	RowCount       int
	Rows           []policy.Row
	HasJobs        bool
	JobLimit       int
	Jobs           []pageJob
	JobsError      string
	Tails          []latencySummary
}

type pageNode struct {
	Node
	Class    string // CSS class
	Revision string
	Behind   string
	IsBehind bool
}

// load is the work and the capacity of a set of engines, in sequences.
type load struct{ Online, Batch, Waiting, Places int }

// OnlinePercent returns the share of the capacity that online work uses.
func (l load) OnlinePercent() int { return percent(l.Online, l.Places) }

// BatchPercent returns the share of the capacity that batch work uses, limited to
// the share that online work leaves free.
func (l load) BatchPercent() int { return min(percent(l.Batch, l.Places), 100-l.OnlinePercent()) }

func percent(part, whole int) int {
	if whole <= 0 {
		return 0
	}
	return min(100*part/whole, 100)
}

type pageZone struct {
	Zone, Region                  string
	Alive, Suspect, Leaving, Dead int
	Engines                       int
	Load                          load
}

type pageEngine struct {
	EngineStatus
	State, Class   string
	Load           load
	KVPercent, Age string
}

type pageJob struct {
	ID               identity.JobID
	Tenant           identity.TenantID
	Model, State     string
	Total, Completed int
	Failed, Unknown  int
	Percent          int
	Deadline         string
	Expected         string
	Late             bool
}

// statusPage renders the read-only HTML status page.
func (s *Server) statusPage(c echo.Context) error {
	var rendered bytes.Buffer
	if err := pageTemplate.Execute(&rendered, s.buildPage(c.Request().Context(), time.Now().UTC())); err != nil {
		return err
	}
	header := c.Response().Header()
	header.Set(echo.HeaderContentSecurityPolicy, "default-src 'none'; style-src 'unsafe-inline'; frame-ancestors 'none'")
	header.Set(echo.HeaderCacheControl, "no-store")
	return c.HTMLBlob(http.StatusOK, rendered.Bytes())
}

func (s *Server) buildPage(ctx context.Context, now time.Time) *page {
	built := &page{Version: version.Version, At: now, RefreshSeconds: refreshSeconds, JobLimit: maxPageJobs}
	if s.dependencies.Readiness != nil {
		if err := s.dependencies.Readiness.Ready(); err != nil {
			built.NotReady = err.Error()
		}
	}
	if s.dependencies.Rows != nil {
		built.addRows(s.dependencies.Rows.Table())
	}
	if s.dependencies.Engines != nil {
		built.HasEngines = true
		built.addEngines(s.dependencies.Engines.Engines(), now)
	}
	expensive := s.expensive.get(ctx, s.dependencies)
	built.addNodes(s.nodes(), expensive)
	built.addZones()
	built.HasJobs = s.dependencies.Jobs != nil
	built.addJobs(expensive, now)
	if s.dependencies.Gatherer != nil {
		built.Tails = latencySummaries(s.dependencies.Gatherer)
	}
	return built
}

func (p *page) addRows(table *policy.Table) {
	all := sortedRows(table)
	p.TableRevision, p.RowCount = table.Revision(), len(all)
	p.Rows = all[:min(len(all), maxPageRows)]
}

func (p *page) addNodes(list NodeList, expensive expensiveData) {
	p.Self = list.Self
	latest := p.TableRevision
	for _, held := range expensive.revisions {
		latest = max(latest, held.Revision)
	}
	for _, node := range list.Nodes {
		shown := pageNode{Node: node, Class: stateClass(node.State)}
		if held, ok := expensive.revisions[node.ID]; ok && held.Known {
			shown.Revision, shown.Behind = fmt.Sprint(held.Revision), fmt.Sprint(latest-held.Revision)
			shown.IsBehind = held.Revision < latest
		} else if ok {
			shown.Revision = "no answer"
		}
		if node.State == stateName(membership.Alive) {
			p.NodesAlive++
		}
		p.Nodes = append(p.Nodes, shown)
	}
}

func stateClass(state string) string {
	switch state {
	case stateName(membership.Alive):
		return "good"
	case stateName(membership.Dead):
		return "bad"
	default:
		return "warn"
	}
}

func (p *page) addEngines(engines []EngineStatus, now time.Time) {
	for _, engine := range engines {
		shown := pageEngine{
			EngineStatus: engine, State: "reachable", Class: "good",
			Load: load{Online: engine.RunningOnline, Batch: engine.RunningBatch, Waiting: engine.Waiting, Places: engine.MaxRunning},
		}
		switch {
		case !engine.Reachable:
			shown.State, shown.Class = "not reachable", "bad"
		case engine.Leaving:
			shown.State, shown.Class = "leaving", "warn"
		}
		if engine.KVCapacity > 0 {
			shown.KVPercent = fmt.Sprintf("%d %%", percent(engine.KVUsed, engine.KVCapacity))
		}
		if !engine.ReportedAt.IsZero() {
			shown.Age = now.Sub(engine.ReportedAt).Round(10 * time.Millisecond).String()
		}
		p.Engines = append(p.Engines, shown)
	}
}

// addZones aggregates nodes and engines by zone. It must be called after addNodes
// and addEngines.
func (p *page) addZones() {
	zones := make(map[string]*pageZone)
	zone := func(name string) *pageZone {
		if zones[name] == nil {
			zones[name] = &pageZone{Zone: name}
		}
		return zones[name]
	}
	for _, node := range p.Nodes {
		sum := zone(node.Zone)
		sum.Region = node.Region
		switch node.State {
		case stateName(membership.Alive):
			sum.Alive++
		case stateName(membership.Suspect):
			sum.Suspect++
		case stateName(membership.Leaving):
			sum.Leaving++
		default:
			sum.Dead++
		}
	}
	for _, engine := range p.Engines {
		sum := zone(engine.Zone)
		sum.Engines++
		sum.Load.Online += engine.Load.Online
		sum.Load.Batch += engine.Load.Batch
		sum.Load.Waiting += engine.Load.Waiting
		sum.Load.Places += engine.Load.Places
	}
	for _, sum := range zones {
		p.Zones = append(p.Zones, sum)
	}
	slices.SortFunc(p.Zones, func(a, b *pageZone) int {
		return cmp.Or(cmp.Compare(a.Region, b.Region), cmp.Compare(a.Zone, b.Zone))
	})
}

func (p *page) addJobs(expensive expensiveData, now time.Time) {
	if expensive.jobsError != nil {
		p.JobsError = expensive.jobsError.Error()
		return
	}
	for _, job := range expensive.jobs {
		shown := pageJob{
			ID: job.ID, Tenant: job.Tenant, Model: job.Model, State: string(job.State),
			Total: job.Total, Completed: job.Completed, Failed: job.Failed, Unknown: job.Unknown,
			Percent: percent(job.Completed+job.Failed+job.Unknown, job.Total),
		}
		if !job.Deadline.IsZero() {
			shown.Deadline = relativeTime(job.Deadline, now)
			shown.Late = job.ExpectedFinish.After(job.Deadline)
		}
		if !job.ExpectedFinish.IsZero() {
			shown.Expected = relativeTime(job.ExpectedFinish, now)
		}
		p.Jobs = append(p.Jobs, shown)
	}
}

// relativeTime formats a time relative to now.
func relativeTime(at, now time.Time) string {
	distance := at.Sub(now).Round(time.Second)
	if distance < 0 {
		return fmt.Sprintf("%s ago", -distance)
	}
	return fmt.Sprintf("in %s", distance)
}

// limitText formats a limit. Zero means none.
func limitText(value any) string {
	text := fmt.Sprint(value)
	if text == "0" {
		return "none"
	}
	return text
}

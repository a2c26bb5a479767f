package report

// Runs that a report compares.
const (
	RunAlone      = "online alone"
	RunNaive      = "naive"
	RunRingstream = "ringstream"
)

// Series is the data of the plots. Times are in seconds since the start of a run.
type Series struct {
	Duration    float64            `json:"duration_s"`
	Online      map[string][]Point `json:"online"` // by run
	Slots       []Slots            `json:"slots"`
	Marks       []Mark             `json:"marks"`
	Convergence []Convergence      `json:"convergence"`
}

// Point is one completed online request.
type Point struct {
	At   float64 `json:"at_s"`
	TTFT float64 `json:"ttft_ms"`
	TPOT float64 `json:"tpot_ms"` // zero: fewer than two tokens
}

// Slots is the average use of the engines' slots during one interval.
type Slots struct {
	At     float64 `json:"at_s"`
	Online float64 `json:"online"`
	Batch  float64 `json:"batch"`
	Total  float64 `json:"total"`
	Done   int     `json:"done"`  // batch items that engines have finished by then
	Ideal  int     `json:"ideal"` // batch items that the ideal schedule has finished by then
}

// Mark is an action on the fleet.
type Mark struct {
	At    float64 `json:"at_s"`
	Label string  `json:"label"`
}

// Convergence is the time from the acceptance of an edit until one node showed it.
type Convergence struct {
	At     float64 `json:"at_s"`
	Row    string  `json:"row"`
	Node   int     `json:"node"`
	Millis float64 `json:"in_force_ms"`
}

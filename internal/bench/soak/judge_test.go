package soak

import (
	"errors"
	"testing"
	"time"

	"ringstream.example/ringstream/platform/platformtest"
)

const testEvents = 3

func wholeAnswer(id string) platformtest.Reply {
	return platformtest.Reply{Status: 200, Body: platformtest.Stream(id, testEvents), Sent: true}
}

func run(engine, id string, began time.Time) engineRun {
	return engineRun{engine: engine, run: platformtest.Run{ID: id, Began: began}}
}

func succeeded(j *judge, id string) platformtest.Result {
	return platformtest.Result{ID: id, State: platformtest.StateSucceeded, Text: j.expectedText(id)}
}

// TestJudgeSeesEachPlantedBreach plants one violation per case, and checks that the judge reports
// only the promise concerned. Cases without a violation must report none.
func TestJudgeSeesEachPlantedBreach(t *testing.T) {
	now := time.Now()
	later := now.Add(10 * time.Second)
	cases := map[string]struct {
		promise string
		plant   func(j *judge) []engineRun
	}{
		"clean": {"", func(j *judge) []engineRun {
			j.addAnswer(requestRecord{"r-1", routeUnsafe, wholeAnswer("r-1")})
			j.addAnswer(requestRecord{"r-2", routeOnce, platformtest.Reply{Status: 503, Sent: true}})
			j.addAnswer(requestRecord{"r-3", routeSafe, wholeAnswer("r-3")})
			job := &jobRecord{id: "j-1", items: []string{"i-1"}, accepted: true}
			j.addJob(job)
			j.addResults(job, 0, platformtest.Results{Total: 1, Results: []platformtest.Result{succeeded(j, "i-1")}})
			return []engineRun{run("e1", "r-1", now), run("e1", "r-3", now), run("e2", "r-3", now), run("e1", "i-1", now), run("e2", "i-1", now)}
		}},
		"half an answer": {"whole_answer", func(j *judge) []engineRun {
			j.addAnswer(requestRecord{"r-1", routeSafe, platformtest.Reply{Status: 200, Body: "id: 1\n", Sent: true}})
			return nil
		}},
		"an answer that breaks off is none": {"", func(j *judge) []engineRun {
			j.addAnswer(requestRecord{"r-1", routeSafe, platformtest.Reply{Status: 200, Body: "id: 1\n", Sent: true, Err: errors.New("reset")}})
			return nil
		}},
		"another's answer": {"whole_answer", func(j *judge) []engineRun {
			j.addAnswer(requestRecord{"r-1", routeSafe, wholeAnswer("r-2")})
			return nil
		}},
		"a proper request is denied": {"proper_requests_are_served", func(j *judge) []engineRun {
			j.addAnswer(requestRecord{"r-1", routeSafe, platformtest.Reply{Status: 404, Sent: true}})
			return nil
		}},
		"twice": {"at_most_once", func(j *judge) []engineRun {
			j.addAnswer(requestRecord{"r-1", routeUnsafe, wholeAnswer("r-1")})
			return []engineRun{run("e1", "r-1", now), run("e2", "r-1", now)}
		}},
		"refused and run": {"not_run_is_true", func(j *judge) []engineRun {
			j.addAnswer(requestRecord{"r-1", routeOnce, platformtest.Reply{Status: 503, Sent: true}})
			return []engineRun{run("e1", "r-1", now)}
		}},
		"too many engines": {"attempts_are_bounded", func(j *judge) []engineRun {
			j.addAnswer(requestRecord{"r-1", routeSafe, wholeAnswer("r-1")})
			return []engineRun{run("e1", "r-1", now), run("e2", "r-1", now), run("e3", "r-1", now)}
		}},
		"nobody asked": {"nothing_runs_unasked", func(*judge) []engineRun { return []engineRun{run("e1", "r-9", now)} }},
		"a stop cut what an engine had": {"planned_stop_cuts_nothing", func(j *judge) []engineRun {
			j.addAnswer(requestRecord{"r-1", routeUnsafe, platformtest.Reply{Sent: true, Err: errors.New("reset")}})
			j.addCut("r-1", false, "")
			return []engineRun{run("e1", "r-1", now)}
		}},
		"a stop cut what nobody had read": {"", func(j *judge) []engineRun {
			j.addAnswer(requestRecord{"r-1", routeUnsafe, platformtest.Reply{Sent: true, Err: errors.New("reset")}})
			j.addCut("r-1", false, "")
			return nil
		}},
		"a stop cut late": {"planned_stop_cuts_nothing", func(j *judge) []engineRun { j.addCut("r-1", true, ""); return nil }},
		"a refused job runs": {"not_run_is_true", func(j *judge) []engineRun {
			j.addJob(&jobRecord{id: "j-1", items: []string{"i-1"}, refused: true})
			return []engineRun{run("e1", "i-1", now)}
		}},
		"an ended job runs on": {"ended_jobs_stop", func(j *judge) []engineRun {
			j.addJob(&jobRecord{id: "j-1", items: []string{"i-1"}, accepted: true, ended: now})
			return []engineRun{run("e1", "i-1", later)}
		}},
		"a taken job is forgotten": {"taken_jobs_are_done", func(j *judge) []engineRun {
			j.addJob(&jobRecord{id: "j-1", items: []string{"i-1"}, accepted: true})
			return nil
		}},
		"a result changes": {"results_do_not_change", func(j *judge) []engineRun {
			job := &jobRecord{id: "j-1", items: []string{"i-1"}, accepted: true}
			j.addJob(job)
			j.addResults(job, 0, platformtest.Results{Total: 1, Results: []platformtest.Result{{ID: "i-1", State: platformtest.StateDeadLetter}}})
			j.addResults(job, 0, platformtest.Results{Total: 1, Results: []platformtest.Result{succeeded(j, "i-1")}})
			return nil
		}},
		"listed twice": {"listed_once", func(j *judge) []engineRun {
			job := &jobRecord{id: "j-1", items: []string{"i-1", "i-2"}, accepted: true, ended: now}
			j.addJob(job)
			j.addResults(job, 0, platformtest.Results{Total: 2, Results: []platformtest.Result{succeeded(j, "i-1"), succeeded(j, "i-1")}})
			return nil
		}},
		"another job's item": {"own_items_only", func(j *judge) []engineRun {
			job := &jobRecord{id: "j-1", items: []string{"i-1"}, accepted: true, ended: now}
			j.addJob(job)
			j.addResults(job, 0, platformtest.Results{Total: 1, Results: []platformtest.Result{succeeded(j, "i-7")}})
			return nil
		}},
		"half a text": {"whole_text", func(j *judge) []engineRun {
			job := &jobRecord{id: "j-1", items: []string{"i-1"}, accepted: true}
			j.addJob(job)
			j.addResults(job, 0, platformtest.Results{Total: 1, Results: []platformtest.Result{{ID: "i-1", State: platformtest.StateSucceeded, Text: "i-1:1"}}})
			return nil
		}},
		"a wrong total": {"total_is_right", func(j *judge) []engineRun {
			job := &jobRecord{id: "j-1", items: []string{"i-1"}, accepted: true}
			j.addJob(job)
			j.addResults(job, 0, platformtest.Results{Total: 2, Results: []platformtest.Result{succeeded(j, "i-1")}})
			return nil
		}},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			judge := newJudge(testEvents)
			judge.conclude(test.plant(judge))
			if test.promise == "" && len(judge.violations) > 0 {
				t.Errorf("violations %+v, want none", judge.violations)
			}
			if test.promise != "" && (len(judge.violations) != 1 || judge.violations[0].Promise != test.promise) {
				t.Errorf("violations %+v, want only one of %s", judge.violations, test.promise)
			}
		})
	}
}

// One promise with 199 violations left no space in the report for three of four other promises.
func TestEachPromiseSeenBrokenIsKept(t *testing.T) {
	judge := newJudge(testEvents)
	for range 5 * maxViolationsKept {
		judge.recordViolation("often", "n1", "")
	}
	judge.recordViolation("once", "n1", "")
	if last := judge.violations[len(judge.violations)-1]; last.Promise != "once" || len(judge.violations) != maxViolationsKept+1 {
		t.Errorf("%d violations kept, the last one is %+v", len(judge.violations), last)
	}
	if judge.violationCounts["often"] != 5*maxViolationsKept || judge.violationCounts["once"] != 1 {
		t.Errorf("violation counts are %v", judge.violationCounts)
	}
}

// This file defines the results of experiments and how they are written.

package clbench

import (
	"encoding/json"
	"fmt"
	"io"
	"runtime"
	"strings"
	"text/tabwriter"
	"time"
)

type (
	// Report holds the results of one run.
	Report struct {
		Command string    `json:"command"`
		Started time.Time `json:"started"`
		Go      string    `json:"go"`
		CPUs    int       `json:"cpus"`
		Results []*Result `json:"results"`
	}

	// Result is what one experiment measured.
	Result struct {
		Experiment string    `json:"experiment"`
		TookS      float64   `json:"took_s"`
		CPUS       float64   `json:"cpu_s"`
		Series     []*Series `json:"series"`
		Figures    []Figure  `json:"figures"`
		Notes      []string  `json:"notes"`

		byName map[string]*Series
	}

	// Series is a cost at several sizes.
	Series struct {
		Name string    `json:"name"`
		Unit string    `json:"unit"`
		Size string    `json:"size"`
		X    []float64 `json:"x"`
		Y    []float64 `json:"y"`
		Fit  Fit       `json:"fit"`
	}

	// Figure is a single measured value.
	Figure struct {
		Name  string  `json:"name"`
		Unit  string  `json:"unit"`
		Value float64 `json:"value"`
	}
)

func newResult(name string) *Result { return &Result{Experiment: name, byName: map[string]*Series{}} }

// add adds a point to the series of the name.
func (r *Result) add(name, unit, size string, x, y float64) {
	s := r.byName[name]
	if s == nil {
		s = &Series{Name: name, Unit: unit, Size: size}
		r.byName[name] = s
		r.Series = append(r.Series, s)
	}
	s.X, s.Y = append(s.X, x), append(s.Y, y)
}

func (r *Result) figure(name, unit string, v float64) {
	r.Figures = append(r.Figures, Figure{Name: name, Unit: unit, Value: v})
}

func (r *Result) note(format string, args ...any) {
	r.Notes = append(r.Notes, fmt.Sprintf(format, args...))
}

func (r *Result) finish(started time.Time, cpu float64) {
	r.TookS, r.CPUS = time.Since(started).Seconds(), cpu
	for _, s := range r.Series {
		s.Fit = bestFit(s.X, s.Y)
	}
}

func newReport(command string) *Report {
	return &Report{Command: command, Started: time.Now(), Go: runtime.Version(), CPUs: runtime.NumCPU()}
}

// WriteJSON writes the report as JSON.
func (r *Report) WriteJSON(w io.Writer) error {
	enc := json.NewEncoder(w)
	enc.SetIndent("", " ")
	return enc.Encode(r)
}

// WriteTable writes the result as a table.
func (r *Result) WriteTable(w io.Writer) error {
	fmt.Fprintf(w, "%s: took %.1f s and %.1f CPU-s\n", r.Experiment, r.TookS, r.CPUS)
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	for _, s := range r.Series {
		points := make([]string, len(s.X))
		for i := range s.X {
			points[i] = fmt.Sprintf("%.4g: %.4g (%+.2g)", s.X[i], s.Y[i], s.Fit.Residuals[i])
		}
		x := "x"
		if s.Fit.Kind == fitLogarithmic {
			x = "ln x"
		}
		fmt.Fprintf(t, "  %s\t%s\tx = %s\t%s\t%.4g %+.4g %s\n", s.Name, s.Unit, s.Size, strings.Join(points, "; "), s.Fit.Intercept, s.Fit.Slope, x)
	}
	for _, f := range r.Figures {
		fmt.Fprintf(t, "  %s\t%s\t%.4g\n", f.Name, f.Unit, f.Value)
	}
	for _, n := range r.Notes {
		fmt.Fprintf(t, "  note: %s\n", n)
	}
	return t.Flush()
}

package report

import (
	"slices"

	"doorstack.dev/node/blackboard"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
)

// StageTimes are the times after which daemons reached a stage of their start, in seconds since
// their processes started.
type StageTimes struct {
	Name string
	// After are the times in ascending order.
	After []float64
	// Median and Last are the median and the longest of the times.
	Median, Last float64
}

// startMessage is the message of a log line about a start stage.
const startMessage = "start"

// summarizeStarts returns the stages that daemons reached, in the order of a start.
func (l *Log) summarizeStarts() []StageTimes {
	var list []StageTimes
	for _, s := range blackboard.Stages() {
		after := slices.Sorted(slices.Values(l.starts[s.String()]))
		if len(after) == 0 {
			continue
		}
		list = append(list, StageTimes{Name: s.String(), After: after, Median: after[len(after)/2], Last: after[len(after)-1]})
	}
	return list
}

// plotStarts plots how many daemons have reached each stage, by the time since their start.
func (s *Summary) plotStarts(p *plot.Plot) error {
	p.X.Label.Text, p.Y.Label.Text = "seconds since the process started", "daemons"
	p.X.Min, p.Y.Min = 0, 0
	p.Legend.Left, p.Legend.Top = false, false
	for i := range s.Starts {
		stage := &s.Starts[i]
		points := plotter.XYs{{}}
		for n, after := range stage.After {
			points = append(points, plotter.XY{X: after, Y: float64(n)}, plotter.XY{X: after, Y: float64(n + 1)})
		}
		curve, err := plotter.NewLine(points)
		if err != nil {
			return err
		}
		curve.Color, curve.Width = plotutil.Color(i), vg.Points(1.5)
		p.Add(curve)
		p.Legend.Add(stage.Name, curve)
	}
	return nil
}

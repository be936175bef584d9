package control

import (
	"testing"

	. "github.com/smartystreets/goconvey/convey"
)

func TestFitLine(t *testing.T) {
	Convey("Points on a line give that line and no residual", t, func() {
		line := FitLine([]Point{{X: 1, Y: 5}, {X: 2, Y: 7}, {X: 4, Y: 11}})
		So(line.Base, ShouldAlmostEqual, 3)
		So(line.Slope, ShouldAlmostEqual, 2)
		So(line.Residual, ShouldAlmostEqual, 0)
		So(line.ValueAt(10), ShouldAlmostEqual, 23)
	})
	Convey("Other points give the least squares line", t, func() {
		line := FitLine([]Point{{X: 0, Y: 0}, {X: 1, Y: 3}, {X: 2, Y: 0}})
		So(line.Base, ShouldAlmostEqual, 1)
		So(line.Slope, ShouldAlmostEqual, 0)
		So(line.Residual, ShouldAlmostEqual, 1.41421356, 1e-6)
	})
	Convey("Points with the same X give a horizontal line", t, func() {
		So(FitLine([]Point{{X: 3, Y: 4}, {X: 3, Y: 6}}), ShouldResemble, Line{Base: 5, Residual: 1})
		So(FitLine(nil), ShouldResemble, Line{})
	})
}

func TestTarget(t *testing.T) {
	Convey("At the target an agent has 65 homes and an entry instance has 118 registered agents", t, func() {
		homes := HomesPerAgent(defaultMaxLocal, defaultPerRemote)
		So(homes, ShouldEqual, 65)
		So(AgentsPerEntry(targetServerCount, homes), ShouldEqual, 118)
	})
}

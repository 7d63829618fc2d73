package policy

// updateEasing takes weight off servers whose load stays far above the mean, and returns it when their load is far
// below the mean.
func (a *Assigner) updateEasing() {
	for _, e := range a.sortedEndpoints {
		if !e.usable() || e.loadPercent < 0 || a.now-e.easedAt < easingIntervalLags*a.feedbackLag() {
			continue
		}
		if e.loadPercent > max(calmLoadPercent, a.loadPercent+loadDeviationPercent) && e.easingShare > entryWeightShare ||
			e.loadPercent < a.loadPercent-loadDeviationPercent && e.easingShare < 1 {
			ratio := max(minEasingRatio, min(a.loadPercent/max(e.loadPercent, 1), 1/minEasingRatio))
			e.easingShare, e.easedAt = min(1, max(entryWeightShare, e.easingShare*ratio)), a.now
		}
	}
}

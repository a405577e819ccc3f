/** Tags of a metric. Each tag has few distinct values. */
export type MetricTags = { [tag: string]: string; };

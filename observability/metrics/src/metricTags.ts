/** Tags of a metric. Values are from small sets. */
export type MetricTags = { [tag: string]: string; };

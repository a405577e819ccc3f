import type { EntrySettings } from "@knapweedwood/config.settings/entrySettings";
import type { SideSettings } from "@knapweedwood/config.settings/sideSettings";
import type { Clock } from "@knapweedwood/core.clock/clock";
import { JsonLogger } from "@knapweedwood/observability.logs/jsonLogger";
import { silentMetrics } from "@knapweedwood/observability.metrics/silentMetrics";
import { StatsdMetrics } from "@knapweedwood/observability.metrics/statsdMetrics";
import { silentTracer } from "@knapweedwood/observability.traces/silentTracer";
import type { Tracer } from "@knapweedwood/observability.traces/tracer";
import type { Telemetry } from "./telemetry.js";

/** Creates the logger, metrics and tracer of a process from its settings. Metrics and traces are optional. */
export async function createTelemetry(settings: EntrySettings | SideSettings, clock: Clock): Promise<Telemetry> {
    const { instanceId, zone } = settings;
    return {
        logger: new JsonLogger({ clock, level: settings.logs.level, fields: { instanceId, zone } }),
        metrics: settings.metrics === undefined
            ? silentMetrics
            : new StatsdMetrics({ ...settings.metrics, tags: { instance: instanceId, zone } }),
        tracer: await createTracer(settings),
    };
}

/** Loads OpenTelemetry only if traces are configured, because it uses much memory. */
async function createTracer(settings: EntrySettings | SideSettings): Promise<Tracer> {
    if (settings.traces === undefined) {
        return silentTracer;
    }
    const { OpenTelemetryTracer } = await import("@knapweedwood/observability.traces/openTelemetryTracer");
    return new OpenTelemetryTracer({ instanceId: settings.instanceId, ...settings.traces });
}

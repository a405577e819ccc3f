import type { ServiceName } from "@knapweedwood/core.ids/serviceName";
import type { SoftwareVersion } from "@knapweedwood/core.ids/softwareVersion";
import type { VersionSighting } from "./versionSighting.js";

/** Time for which a version is remembered after it was last seen, in milliseconds. Exceeds the life of any stream. */
const RETENTION_MS = 600_000;

/** When each software version of a service was last seen. */
export class VersionSightings {
    private sightings = new Map<string, VersionSighting>();

    /** Records that a version ran a service at `atMs`. */
    record(service: ServiceName, softwareVersion: SoftwareVersion, atMs: number): void {
        const key = JSON.stringify([service, softwareVersion]);
        const latestMs = Math.max(atMs, this.sightings.get(key)?.atMs ?? -Infinity);
        this.sightings.set(key, { service, softwareVersion, atMs: latestMs });
    }

    /** Returns the versions that were seen at `sinceMs` or later, shape [sightings]. */
    since(sinceMs: number): VersionSighting[] {
        return [...this.sightings.values()].filter(({ atMs }) => atMs >= sinceMs);
    }

    /** Forgets the versions that have not been seen for long. */
    forgetOld(nowMs: number): void {
        this.sightings = new Map([...this.sightings].filter(([, { atMs }]) => atMs >= nowMs - RETENTION_MS));
    }
}

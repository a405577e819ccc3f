import { request } from "undici";

interface ServiceCall {
    marker?: string;
    bodyDigest: string;
}

/** Records of the runs that the upstreams' stand-ins started. */
export class RunRecords {
    private readonly engineStarts = new Map<string, number>();
    private readonly serviceCalls: ServiceCall[] = [];

    /** Reads the records of all engines and plain services. */
    static async read(opts: { engineUrls: string[]; serviceUrls: string[]; }): Promise<RunRecords> {
        const records = new RunRecords();
        for (const url of opts.engineUrls) {
            const counts = await readRecord<{ [marker: string]: { started: number; }; }>(url);
            Object.entries(counts).forEach(([marker, { started }]) =>
                records.engineStarts.set(marker, started + records.engineStartsOf(marker))
            );
        }
        for (const url of opts.serviceUrls) {
            records.serviceCalls.push(...(await readRecord<{ calls: ServiceCall[]; }>(url)).calls);
        }
        return records;
    }

    /** Returns how often the engines started a run with the marker. */
    engineStartsOf(marker: string): number {
        return this.engineStarts.get(marker) ?? 0;
    }

    /** Returns the number of calls that the plain services ran, by marker. */
    countsByMarker(): Map<string, number> {
        return countBy(this.serviceCalls.flatMap(call => call.marker ?? []));
    }

    /** Returns the number of calls without a marker that the plain services ran, by the digest of the body. */
    countsByBody(): Map<string, number> {
        return countBy(this.serviceCalls.filter(call => call.marker === undefined).map(call => call.bodyDigest));
    }
}

async function readRecord<Body>(url: string): Promise<Body> {
    const response = await request(`${url}/__record`);
    return await response.body.json() as Body;
}

function countBy(names: string[]): Map<string, number> {
    const counts = new Map<string, number>();
    names.forEach(name => counts.set(name, (counts.get(name) ?? 0) + 1));
    return counts;
}

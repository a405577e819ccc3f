import { itemBodyCall } from "@knapweedwood/fleet.jobs/itemBodyCall";
import { JobRunner } from "@knapweedwood/fleet.jobs/jobRunner";
import { resultsCall } from "@knapweedwood/fleet.jobs/resultsCall";
import type { ProcessSettings } from "@knapweedwood/fleet.view/processSettings";
import type { Logger } from "@knapweedwood/observability.logs/logger";
import { wireHeaders } from "@knapweedwood/platform.adapter/wireHeaders";
import { FleetProcess } from "./fleetProcess.js";

/** The program that runs batch jobs, on one instance at a time; the others stand by. */
export class RunnerProgram {
    private readonly fleet: FleetProcess;
    private readonly runner: JobRunner;

    constructor(settings: ProcessSettings, logger: Logger) {
        this.fleet = new FleetProcess({
            settings,
            role: "runner",
            logger,
            onLoadChanged: () => this.runner.pump(),
            waiting: () => [],
            onConfiguration: () => this.runner.pump(),
            onJobsWritten: revision => this.runner.catchUp(revision),
            onLead: isLeading => isLeading ? this.runner.begin() : this.runner.stop(),
        });
        this.runner = new JobRunner({
            ...this.fleetTools(),
            logger,
            headers: wireHeaders,
            resultRetentionMs: settings.resultRetentionMs,
            onLoadChanged: () => this.fleet.markLoadChanged(),
        });
        const { runner } = this;
        this.fleet.links.handle(resultsCall, async function*(request, context) {
            const page = await runner.results({ ...request, signal: context.signal });
            yield page === undefined ? {} : { page };
        });
        this.fleet.links.handle(itemBodyCall, async function*(request) {
            const body = await runner.itemBody(request.jobId, request.itemId);
            yield body === undefined ? {} : { body };
        });
    }

    async start(): Promise<void> {
        await this.fleet.start();
    }

    /** Hands the jobs over and ends. */
    async stop(): Promise<void> {
        await this.runner.handOver();
        await this.fleet.leadership.resign();
        await this.fleet.links.close(0);
        await this.fleet.stop();
    }

    private fleetTools() {
        const { store: service, clock, random, leadership, configuration, directory, connections, board, health } =
            this.fleet;
        return { service, clock, random, leadership, configuration, directory, connections, board, health };
    }
}

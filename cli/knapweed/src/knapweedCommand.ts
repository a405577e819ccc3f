import { toKnapweedError } from "@knapweedwood/core.errors/toKnapweedError";
import { Command } from "@oclif/core";

/** Base class of all commands. Adds `--json` and reports errors with their code and hint. */
export abstract class KnapweedCommand extends Command {
    static override enableJsonFlag = true;

    protected override async catch(thrown: Error & { oclif?: unknown; }): Promise<unknown> {
        if (thrown.oclif !== undefined) {
            return super.catch(thrown);
        }
        const error = toKnapweedError(thrown);
        if (this.jsonEnabled()) {
            this.logJson({ error: { code: error.code, message: error.message, hint: error.hint } });
            return this.exit(1);
        }
        return this.error(error.message, {
            code: error.code,
            suggestions: error.hint === undefined ? [] : [error.hint],
        });
    }
}

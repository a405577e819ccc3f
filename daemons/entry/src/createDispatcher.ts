import { cacheChangeNotification } from "@knapweedwood/daemons.inference/cacheChangeNotification";
import { AffinityChooser } from "@knapweedwood/routing.choice/affinityChooser";
import { BudgetedRetryPolicy } from "@knapweedwood/routing.retries/budgetedRetryPolicy";
import { RetryBudget } from "@knapweedwood/routing.retries/retryBudget";
import { BodyStreams } from "./bodyStreams.js";
import { Dispatcher } from "./dispatcher.js";
import type { EntryComponents } from "./entryComponents.js";
import { LINKED_SUBSET_SIZE } from "./linkedSubset.js";
import { ServiceChoosers } from "./serviceChoosers.js";
import type { SideDirectory } from "./sideDirectory.js";

const MAX_ATTEMPTS = 4;
/** Limits a burst of retries, such as after the loss of a side with many calls in progress. */
const MAX_RETRY_BALANCE = 64;

/** Creates the dispatcher of an entry, with its upstream choosers and its retry policy. */
export function createDispatcher(components: EntryComponents, directory: SideDirectory): Dispatcher {
    const { endpoint, random, clock, metrics, tracer } = components;
    const { instanceId, zone } = endpoint.identity;
    const retryBudget = new RetryBudget({ maxBalance: MAX_RETRY_BALANCE });
    const choosers = new ServiceChoosers({
        create: () => new AffinityChooser({ entryId: instanceId, zone, random, subsetSize: LINKED_SUBSET_SIZE }),
    });
    endpoint.handleNotification(
        cacheChangeNotification,
        change => choosers.getOrCreate(change.service).onCacheChange?.(change),
    );
    return new Dispatcher({
        directory,
        choosers,
        retryPolicy: new BudgetedRetryPolicy({ budget: retryBudget, random, maxAttempts: MAX_ATTEMPTS }),
        retryBudget,
        bodyStreams: new BodyStreams({ endpoint }),
        clock,
        metrics,
        tracer,
    });
}

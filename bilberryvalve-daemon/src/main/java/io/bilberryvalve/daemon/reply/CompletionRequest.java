package io.bilberryvalve.daemon.reply;

import io.bilberryvalve.model.PipelineId;
import org.jspecify.annotations.Nullable;

/**
 * Parsed body of a completion request.
 *
 * @param pipeline pipeline to use, field {@code model} of the body
 * @param prompt the prompt, not empty
 * @param maxTokens maximum length of the reply in tokens, or {@code null} for the limit
 * of the pipeline
 * @param priority priority from -10 (low) to 10 (high)
 */
record CompletionRequest(PipelineId pipeline, String prompt, @Nullable Integer maxTokens, int priority) {

}

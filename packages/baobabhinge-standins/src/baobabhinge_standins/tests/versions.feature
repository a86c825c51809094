Feature: A call runs on the version that it names or that the settings have in force

  Scenario Outline: Calls while the engines change their versions
    Given a region of four engines that hold version v1
    And a weight store that takes a second for each version
    When settings with the versions <versions> and the default v2 are accepted
    And calls for <model> go on until every engine holds <versions>
    Then each call ran on <version> alone or was refused as not run with Retry-After
    And the last call was answered

    Examples:
      | model         | versions | version |
      | llm           | v2       | v2      |
      | llm@v2        | v2       | v2      |
      | llm:covers    | v2       | v2      |
      | llm           | v1, v2   | v2      |
      | llm@v1        | v1, v2   | v1      |

  Scenario Outline: The engine of a stream dies after the settings have changed
    Given a region of four engines that hold version v1
    When a streamed answer for llm has begun
    And settings with the versions <versions> and the default v2 are accepted
    And every engine holds <versions>
    And the engine of the stream is killed
    Then the answer is <end> and only v1 has run it

    Examples:
      | versions | end   |
      | v1, v2   | whole |
      | v2       | cut   |

  Scenario: No engine holds the version
    Given a region of four engines that hold version v1
    And a weight store that is down
    When settings with the versions v2 and the default v2 are accepted
    Then a call for llm is refused as not run with Retry-After

  Scenario Outline: A version is placed in one region alone
    Given a region west that has version v1 and a region east that has version v2
    When a caller in <region> asks for <model> <bound>
    Then the outcome is <outcome>

    Examples:
      | region | model  | bound         | outcome                   |
      | west   | llm@v1 | anywhere      | v1 in west                |
      | west   | llm@v2 | anywhere      | v2 in east                |
      | west   | llm    | anywhere      | v2 in east                |
      | east   | llm@v1 | anywhere      | v1 in west                |
      | east   | llm@v1 | in east alone | refused: region-bound     |
      | east   | llm@v9 | anywhere      | refused: unknown-model    |
